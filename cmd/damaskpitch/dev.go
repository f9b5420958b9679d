package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/ctrl"
	"github.com/damaskpitch/damaskpitch/fake"
	"github.com/damaskpitch/damaskpitch/node"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/store"
)

const (
	_devKey     = "development-key-only"
	_devTimeout = 30 * time.Second
	_devCenters = 2
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a small fleet in one process and send a request through it",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "port", Usage: "use ports starting at `PORT`", Value: 7100},
			&cli.BoolFlag{Name: "once", Usage: "serve one request and exit"},
			&cli.BoolFlag{Name: "logs", Usage: "print the daemons' logs"},
		},
		Action: dev,
	}
}

func dev(ctx context.Context, c *cli.Command) error {
	folder, err := os.MkdirTemp("", "damaskpitch-dev-")
	if err != nil {
		return errors.Errorf("create data folder: %w", err)
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	d := devFleet{port: c.Int("port"), folder: folder, out: c.Root().Writer, logger: slog.New(slog.DiscardHandler)}
	if c.Bool("logs") {
		var flush func()
		d.logger, flush, err = newLogger("info")
		if err != nil {
			return err
		}
		defer flush()
	}
	if err := d.start(ctx, group); err != nil {
		cancel()
		return errors.CombineErrors(err, group.Wait())
	}
	if err := d.awaitFirstRequest(ctx); err != nil {
		cancel()
		return errors.CombineErrors(err, group.Wait())
	}
	if c.Bool("once") {
		cancel()
	}
	return group.Wait()
}

// devFleet is a fleet of one control host and two nodes with two backend servers each.
type devFleet struct {
	port   int
	folder string
	out    io.Writer
	logger *slog.Logger
}

func (d devFleet) addr(n int) string {
	return fmt.Sprintf("127.0.0.1:%d", d.port+n)
}

func (d devFleet) start(ctx context.Context, group *errgroup.Group) error {
	control, err := ctrl.New(ctx, ctrl.Config{
		Logger: d.logger,
		Store:  store.Config{},
		Settings: config.Control{
			Name: "c1", Center: "mida", Data: filepath.Join(d.folder, "c1"),
			API: d.addr(0), Peer: d.addr(1), Key: _devKey,
			Hosts: []config.Host{{Name: "c1", Addr: d.addr(1)}},
		},
	})
	if err != nil {
		return err
	}
	group.Go(func() error { return control.Run(ctx) })
	for n := range _devCenters {
		if err := d.startNode(ctx, group, n); err != nil {
			return err
		}
	}
	return apiClient{hosts: []string{d.addr(0)}}.putService(ctx, devService(), io.Discard)
}

func (d devFleet) startNode(ctx context.Context, group *errgroup.Group, n int) error {
	first := 10 * (n + 1)
	s := node.New(node.Config{Logger: d.logger, Settings: config.Node{
		Name: fmt.Sprintf("n%d", n+1), Center: []string{"mida", "kilifi"}[n],
		Caller: d.addr(first), Peer: d.addr(first + 1), Local: d.addr(first + 2),
		Key: _devKey, Control: []string{d.addr(1)},
	}})
	group.Go(func() error { return s.Run(ctx) })
	for i := range 2 {
		_, err := fake.StartBackend(ctx, fake.BackendConfig{
			ID: fmt.Sprintf("lookup-%d", 2*n+i+1), Service: "lookup", Node: d.addr(first + 2),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func devService() spec.Service {
	return spec.Service{
		Name: "lookup", Floor: 3, Patience: spec.Quick,
		Routes: []spec.Route{{Path: "/check"}, {Path: "/renew", Method: http.MethodPost, Once: true}},
	}.WithDefaults()
}

// awaitFirstRequest sends requests until one succeeds, then prints how to send more.
func (d devFleet) awaitFirstRequest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, _devTimeout)
	defer cancel()
	url := "http://" + d.addr(10) + "/check/7"
	for {
		response, err := sendRequest(ctx, url)
		if err == nil {
			fmt.Fprintf(d.out, "served: %s answered %s\n", response.Instance, response.Path)
			fmt.Fprintf(d.out, "resource API: http://%s/v1/status\n", d.addr(0))
			fmt.Fprintf(d.out, "try: curl -i %s\n", url)
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("first request: %w", errors.CombineErrors(err, ctx.Err()))
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func sendRequest(ctx context.Context, url string) (fake.Response, error) {
	var body fake.Response
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return body, errors.Errorf("create request: %w", err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return body, errors.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return body, errors.Newf("status %d", response.StatusCode)
	}
	return body, json.NewDecoder(response.Body).Decode(&body)
}
