package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/wire"
)

const (
	_ctlAttempts = 12
	// _maxResponse is the maximum size in bytes of a response.
	_maxResponse = 128 << 20
	_maxStatus   = 599
)

// errAPI marks error responses of the resource API.
var errAPI = errors.New("resource API")

func ctlCommand() *cli.Command {
	return &cli.Command{
		Name:  "ctl",
		Usage: "manage services through the resource API",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: "api", Usage: "call a control host at `ADDR`; may be repeated",
				Value: []string{"127.0.0.1:7100"}, Sources: cli.EnvVars("DAMASKPITCH_API"),
			},
			&cli.StringFlag{Name: "token", Usage: "authenticate with `TOKEN`", Sources: cli.EnvVars("DAMASKPITCH_TOKEN")},
		},
		Commands: []*cli.Command{
			{Name: "apply", Usage: "create or replace the services in a YAML file", ArgsUsage: "FILE", Action: apply},
			{Name: "get", Usage: "print one or all services", ArgsUsage: "[NAME]", Action: get},
			{Name: "delete", Usage: "delete a service", ArgsUsage: "NAME", Action: deleteService},
			{Name: "watch", Usage: "print changes as they occur", ArgsUsage: "[REVISION]", Action: watch},
			{Name: "status", Usage: "print the accepted and applied revisions of services", Action: status},
			{Name: "customers", Usage: "print the customers' caps and their use", Action: customers},
			{Name: "flows", Usage: "print room and demand of services by data centre, and the flows between them", Action: flows},
			{Name: "members", Usage: "print the nodes and their instances", Action: members},
		},
	}
}

// apiClient is a client of the resource API that tries the control hosts in turn.
type apiClient struct {
	hosts []string
	token string
}

func newAPIClient(c *cli.Command) apiClient {
	return apiClient{hosts: c.StringSlice("api"), token: c.String("token")}
}

// apiResponse is a response of the resource API.
type apiResponse struct {
	status int
	etag   string
	body   []byte
}

// call sends a request to one host after another until one can serve it. All attempts
// carry the same headers, so that a write keeps its Request-Id.
func (a apiClient) call(ctx context.Context, method, path string, header http.Header, body []byte) (apiResponse, error) {
	var last error
	for attempt := range _ctlAttempts * len(a.hosts) {
		r, err := a.do(ctx, a.hosts[attempt%len(a.hosts)], method, path, header, body)
		if err == nil && r.status != http.StatusServiceUnavailable && r.status != http.StatusGatewayTimeout {
			return r, nil
		}
		last = err
		if err == nil {
			last = errors.Newf("status %d: %s", r.status, bytes.TrimSpace(r.body))
		}
		select {
		case <-ctx.Done():
			return apiResponse{}, errors.Errorf("%s %s: %w", method, path, ctx.Err())
		case <-time.After(time.Duration(attempt) * 100 * time.Millisecond):
		}
	}
	return apiResponse{}, errors.Errorf("%s %s: %w", method, path, last)
}

func (a apiClient) do(ctx context.Context, host, method, path string, header http.Header, body []byte) (apiResponse, error) {
	response, err := a.send(ctx, host, method, path, header, body)
	if err != nil {
		return apiResponse{}, err
	}
	defer response.Body.Close()
	if response.StatusCode < http.StatusOK || response.StatusCode > _maxStatus {
		return apiResponse{}, errors.Newf("status %d is none in the protocol", response.StatusCode)
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, _maxResponse))
	if err != nil {
		return apiResponse{}, errors.Errorf("read response: %w", err)
	}
	return apiResponse{status: response.StatusCode, etag: response.Header.Get("ETag"), body: data}, nil
}

func (a apiClient) send(
	ctx context.Context, host, method, path string, header http.Header, body []byte,
) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Errorf("create request: %w", err)
	}
	for name, values := range header {
		r.Header[name] = values
	}
	if a.token != "" {
		wire.SetKey(r, a.token)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.Errorf("send request to control host: %w", err)
	}
	return response, nil
}

func apply(ctx context.Context, c *cli.Command) error {
	file := c.Args().First()
	if file == "" {
		return errors.Errorf("apply requires a file: %w", errUsage)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Errorf("read services: %w", err)
	}
	services, err := spec.Parse(file, data)
	if err != nil {
		return err
	}
	for _, s := range services {
		if err := newAPIClient(c).putService(ctx, s, c.Root().Writer); err != nil {
			return err
		}
	}
	return nil
}

func (a apiClient) putService(ctx context.Context, s spec.Service, w io.Writer) error {
	path := "/v1/services/" + s.Name
	current, err := a.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	match := current.etag
	if current.status == http.StatusNotFound {
		match = `"0"`
	}
	body, err := json.Marshal(s)
	if err != nil {
		return errors.Errorf("encode service %s: %w", s.Name, err)
	}
	header := http.Header{"If-Match": {match}, "Request-Id": {rand.Text()}}
	written, err := a.call(ctx, http.MethodPut, path, header, body)
	if err != nil {
		return err
	}
	return printResponse(w, written)
}

func get(ctx context.Context, c *cli.Command) error {
	path := "/v1/services"
	if name := c.Args().First(); name != "" {
		path += "/" + name
	}
	return fetch(ctx, c, path)
}

func status(ctx context.Context, c *cli.Command) error {
	return fetch(ctx, c, "/v1/status")
}

func customers(ctx context.Context, c *cli.Command) error {
	return fetch(ctx, c, "/v1/customers")
}

func flows(ctx context.Context, c *cli.Command) error {
	return fetch(ctx, c, "/v1/flows")
}

func members(ctx context.Context, c *cli.Command) error {
	return fetch(ctx, c, "/v1/members")
}

func fetch(ctx context.Context, c *cli.Command, path string) error {
	r, err := newAPIClient(c).call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	return printResponse(c.Root().Writer, r)
}

func deleteService(ctx context.Context, c *cli.Command) error {
	name := c.Args().First()
	if name == "" {
		return errors.Errorf("delete requires a service name: %w", errUsage)
	}
	header := http.Header{"If-Match": {"*"}, "Request-Id": {rand.Text()}}
	r, err := newAPIClient(c).call(ctx, http.MethodDelete, "/v1/services/"+name, header, nil)
	if err != nil {
		return err
	}
	return printResponse(c.Root().Writer, r)
}

// watch prints changes. When a stream ends, it continues at the next host.
func watch(ctx context.Context, c *cli.Command) error {
	a := newAPIClient(c)
	from := "0"
	if rev := c.Args().First(); rev != "" {
		from = rev
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		host := a.hosts[attempt%len(a.hosts)]
		next, err := a.streamChanges(ctx, host, from, c.Root().Writer)
		from = next
		if err != nil && ctx.Err() == nil {
			time.Sleep(time.Second)
		}
	}
	return nil
}

func (a apiClient) streamChanges(ctx context.Context, host, from string, w io.Writer) (string, error) {
	response, err := a.send(ctx, host, http.MethodGet, "/v1/watch?from="+from, nil, nil)
	if err != nil {
		return from, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, wire.MaxFrameSize)
	for lines.Scan() {
		var event struct {
			Rev json.Number `json:"rev"`
		}
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return from, errors.Errorf("decode watch event: %w", err)
		}
		from = event.Rev.String()
		fmt.Fprintln(w, strings.TrimSpace(lines.Text()))
	}
	return from, errors.New("watch stream ended")
}

func printResponse(w io.Writer, r apiResponse) error {
	if r.status >= http.StatusBadRequest {
		return errors.Errorf("status %d: %s: %w", r.status, bytes.TrimSpace(r.body), errAPI)
	}
	var out bytes.Buffer
	if err := json.Indent(&out, r.body, "", "  "); err != nil {
		return errors.Errorf("format response: %w", err)
	}
	_, err := out.WriteTo(w)
	return err
}
