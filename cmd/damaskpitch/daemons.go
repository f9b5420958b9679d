package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/ctrl"
	"github.com/damaskpitch/damaskpitch/fake"
	"github.com/damaskpitch/damaskpitch/node"
	"github.com/damaskpitch/damaskpitch/platform"
	"github.com/damaskpitch/damaskpitch/spec"
)

// _nodeGCPercent is the GC percentage of a node. It is lower than Go's default because
// a node's memory is limited more tightly than its CPU time.
const _nodeGCPercent = 50

func settingsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "config", Usage: "read the settings from `FILE`", Required: true,
			Sources: cli.EnvVars(platform.SettingsEnv),
		},
		&cli.BoolFlag{Name: "check", Usage: "validate the settings and exit"},
	}
}

func controlCommand() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "run a control host: the replicated configuration and its API",
		Flags: settingsFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := config.LoadControl(c.String("config"))
			if err != nil || c.Bool("check") {
				return err
			}
			return runControl(ctx, settings, func() error {
				_, err := config.LoadControl(c.String("config"))
				return err
			})
		},
	}
}

func runControl(ctx context.Context, settings config.Control, check func() error) error {
	logger, flush, err := newLogger(settings.Log.Level)
	if err != nil {
		return err
	}
	defer flush()
	logger.Info("starting", slog.String("name", settings.Name), slog.String("version", version))
	defer checkOnSIGHUP(logger, check)()
	setMemoryLimit(settings.Memory)
	s, err := ctrl.New(ctx, ctrl.Config{Settings: settings, Logger: logger})
	if err != nil {
		return err
	}
	err = s.Run(ctx)
	logger.Info("stopped", slog.Any("error", err))
	return err
}

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run a node, the proxy on a backend server host",
		Flags: append(settingsFlags(), &cli.BoolFlag{
			Name: "platform", Usage: "use the platform's headers towards callers and backend servers",
		}),
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := config.LoadNode(c.String("config"))
			if err != nil || c.Bool("check") {
				return err
			}
			var headers node.Headers
			if c.Bool("platform") {
				headers = platform.Headers()
			}
			return runNode(ctx, settings, headers, func() error {
				_, err := config.LoadNode(c.String("config"))
				return err
			})
		},
	}
}

func runNode(ctx context.Context, settings config.Node, headers node.Headers, check func() error) error {
	logger, flush, err := newLogger(settings.Log.Level)
	if err != nil {
		return err
	}
	defer flush()
	logger.Info("starting", slog.String("name", settings.Name), slog.String("version", version))
	defer checkOnSIGHUP(logger, check)()
	debug.SetGCPercent(_nodeGCPercent)
	setMemoryLimit(settings.Memory)
	err = node.New(node.Config{Settings: settings, Logger: logger, Headers: headers}).Run(ctx)
	logger.Info("stopped", slog.Any("error", err))
	return err
}

// setMemoryLimit limits the heap by the memory that the process may use, if that is set.
func setMemoryLimit(memory spec.Size) {
	if limit, ok := config.GoMemory(memory); ok {
		debug.SetMemoryLimit(limit)
	}
}

// checkOnSIGHUP validates the settings on each SIGHUP and logs the result. Changed
// settings take effect only after a restart. The returned function ends the checks.
func checkOnSIGHUP(logger *slog.Logger, check func() error) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			logger.Info("validated settings; changes take effect after a restart", slog.Any("error", check()))
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}

func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "run a fake backend server for tests",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Usage: "register as instance `NAME`", Required: true},
			&cli.StringFlag{Name: "service", Usage: "serve `NAME`", Required: true},
			&cli.StringFlag{Name: "listen", Usage: "listen on `ADDR`", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "node", Usage: "register at the node's local `ADDR`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			b, err := fake.StartBackend(ctx, fake.BackendConfig{
				ID: c.String("id"), Service: c.String("service"), Listen: c.String("listen"), Node: c.String("node"),
			})
			if err != nil {
				return err
			}
			fmt.Fprintln(c.Root().Writer, b.Addr())
			<-ctx.Done()
			return nil
		},
	}
}
