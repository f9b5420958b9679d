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

const _ctlTries = 12

// errAPI marks an answer of the resource API that is an error.
var errAPI = errors.New("resource API")

func ctlCommand() *cli.Command {
	return &cli.Command{
		Name:  "ctl",
		Usage: "drive the resource API",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: "api", Usage: "call a control host at `ADDR`; may be repeated",
				Value: []string{"127.0.0.1:7100"}, Sources: cli.EnvVars("DAMASKPITCH_API"),
			},
			&cli.StringFlag{Name: "token", Usage: "sign with `TOKEN`", Sources: cli.EnvVars("DAMASKPITCH_TOKEN")},
		},
		Commands: []*cli.Command{
			{Name: "apply", Usage: "create or replace the services in a YAML file", ArgsUsage: "FILE", Action: apply},
			{Name: "get", Usage: "print one service, or all", ArgsUsage: "[NAME]", Action: get},
			{Name: "delete", Usage: "delete a service", ArgsUsage: "NAME", Action: remove},
			{Name: "watch", Usage: "print changes as they come", ArgsUsage: "[REVISION]", Action: watch},
			{Name: "status", Usage: "print what is accepted and what is in force", Action: status},
			{Name: "members", Usage: "print the nodes and their instances", Action: members},
		},
	}
}

// api calls the control hosts in turn.
type api struct {
	hosts []string
	token string
}

func newAPI(c *cli.Command) api {
	return api{hosts: c.StringSlice("api"), token: c.String("token")}
}

// reply is one answer of the resource API.
type reply struct {
	status int
	etag   string
	body   []byte
}

// call sends a request until a host answers; a write keeps its identifier.
func (a api) call(ctx context.Context, method, path string, header http.Header, body []byte) (reply, error) {
	var last error
	for try := range _ctlTries * len(a.hosts) {
		r, err := a.once(ctx, a.hosts[try%len(a.hosts)], method, path, header, body)
		if err == nil && r.status != http.StatusServiceUnavailable && r.status != http.StatusGatewayTimeout {
			return r, nil
		}
		last = err
		if err == nil {
			last = errors.Newf("status %d: %s", r.status, bytes.TrimSpace(r.body))
		}
		select {
		case <-ctx.Done():
			return reply{}, errors.Errorf("%s %s: %w", method, path, ctx.Err())
		case <-time.After(time.Duration(try) * 100 * time.Millisecond):
		}
	}
	return reply{}, errors.Errorf("%s %s: %w", method, path, last)
}

func (a api) once(ctx context.Context, host, method, path string, header http.Header, body []byte) (reply, error) {
	response, err := a.open(ctx, host, method, path, header, body)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, errors.Errorf("read answer: %w", err)
	}
	return reply{status: response.StatusCode, etag: response.Header.Get("ETag"), body: data}, nil
}

func (a api) open(
	ctx context.Context, host, method, path string, header http.Header, body []byte,
) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Errorf("request: %w", err)
	}
	for name, values := range header {
		r.Header[name] = values
	}
	if a.token != "" {
		wire.SetKey(r, a.token)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.Errorf("reach control host: %w", err)
	}
	return response, nil
}

func apply(ctx context.Context, c *cli.Command) error {
	file := c.Args().First()
	if file == "" {
		return errors.Errorf("apply needs a file: %w", errUsage)
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
		if err := newAPI(c).put(ctx, s, c.Root().Writer); err != nil {
			return err
		}
	}
	return nil
}

func (a api) put(ctx context.Context, s spec.Service, w io.Writer) error {
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
		return errors.Errorf("service %s: %w", s.Name, err)
	}
	header := http.Header{"If-Match": {match}, "Request-Id": {rand.Text()}}
	written, err := a.call(ctx, http.MethodPut, path, header, body)
	if err != nil {
		return err
	}
	return show(w, written)
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

func members(ctx context.Context, c *cli.Command) error {
	return fetch(ctx, c, "/v1/members")
}

func fetch(ctx context.Context, c *cli.Command, path string) error {
	r, err := newAPI(c).call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	return show(c.Root().Writer, r)
}

func remove(ctx context.Context, c *cli.Command) error {
	name := c.Args().First()
	if name == "" {
		return errors.Errorf("delete needs a name: %w", errUsage)
	}
	header := http.Header{"If-Match": {"*"}, "Request-Id": {rand.Text()}}
	r, err := newAPI(c).call(ctx, http.MethodDelete, "/v1/services/"+name, header, nil)
	if err != nil {
		return err
	}
	return show(c.Root().Writer, r)
}

// watch prints changes and goes on at another host when one is lost.
func watch(ctx context.Context, c *cli.Command) error {
	a := newAPI(c)
	from := "0"
	if rev := c.Args().First(); rev != "" {
		from = rev
	}
	for try := 0; ctx.Err() == nil; try++ {
		host := a.hosts[try%len(a.hosts)]
		next, err := a.follow(ctx, host, from, c.Root().Writer)
		from = next
		if err != nil && ctx.Err() == nil {
			time.Sleep(time.Second)
		}
	}
	return nil
}

func (a api) follow(ctx context.Context, host, from string, w io.Writer) (string, error) {
	response, err := a.open(ctx, host, http.MethodGet, "/v1/watch?from="+from, nil, nil)
	if err != nil {
		return from, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, wire.MaxFrameSize)
	for lines.Scan() {
		var note struct {
			Rev json.Number `json:"rev"`
		}
		if err := json.Unmarshal(lines.Bytes(), &note); err != nil {
			return from, errors.Errorf("watch: %w", err)
		}
		from = note.Rev.String()
		fmt.Fprintln(w, strings.TrimSpace(lines.Text()))
	}
	return from, errors.New("watch ended")
}

func show(w io.Writer, r reply) error {
	if r.status >= http.StatusBadRequest {
		return errors.Errorf("status %d: %s: %w", r.status, bytes.TrimSpace(r.body), errAPI)
	}
	var out bytes.Buffer
	if err := json.Indent(&out, r.body, "", "  "); err != nil {
		return errors.Errorf("answer: %w", err)
	}
	_, err := out.WriteTo(w)
	return err
}
