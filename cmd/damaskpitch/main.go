// Command damaskpitch runs the daemons of a proxy fleet and manages it.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/damaskpitch/damaskpitch/logbuf"
	"github.com/damaskpitch/damaskpitch/spec"
)

const (
	_exitFailed  = 1
	_exitInvalid = 2
)

// version is set by release builds.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string) int {
	err := newApp().Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "damaskpitch:", err)
	if errors.Is(err, spec.ErrInvalid) || errors.Is(err, errUsage) {
		return _exitInvalid
	}
	return _exitFailed
}

// errUsage marks invalid command lines.
var errUsage = errors.New("invalid usage")

func newApp() *cli.Command {
	return &cli.Command{
		Name:                  "damaskpitch",
		Usage:                 "a proxy fleet for backend servers with gray failures",
		Description:           "Exit codes: 0 success, 1 failure, 2 invalid settings or usage.",
		Version:               version,
		EnableShellCompletion: true,
		Commands:              []*cli.Command{controlCommand(), nodeCommand(), ctlCommand(), rescueCommand(), backendCommand(), devCommand()},
	}
}

// newLogger returns a logger that writes JSON lines to the standard output, and a
// function that flushes and closes it.
func newLogger(level string) (*slog.Logger, func(), error) {
	var l slog.Level
	if level == "" {
		level = "info"
	}
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, nil, errors.Errorf("parse log level: %w", err)
	}
	w := logbuf.New(os.Stdout, logbuf.Config{})
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l})), w.Close, nil
}
