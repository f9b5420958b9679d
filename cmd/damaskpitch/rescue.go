package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/ctrl"
)

func rescueCommand() *cli.Command {
	return &cli.Command{
		Name:  "rescue",
		Usage: "let groups go on from one stopped control host after a majority was lost for good",
		Description: "What only the lost hosts held is lost: accepted writes, and keys of requests that\n" +
			"ran, which may run again. Empty the lost hosts' data folders before they start.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "read the surviving host's settings from `FILE`", Required: true},
			&cli.Uint32SliceFlag{Name: "group", Usage: "rescue the group with `NUMBER`; 0 is the configuration's", Required: true},
			&cli.BoolFlag{Name: "refound", Usage: "go on without the keys of groups that no folder holds any more"},
			&cli.BoolFlag{Name: "accept-loss", Usage: "say that the loss is understood"},
		},
		Action: rescue,
	}
}

func rescue(_ context.Context, c *cli.Command) error {
	if !c.Bool("accept-loss") {
		return errors.Errorf("rescue loses what only the lost hosts held; give --accept-loss: %w", errUsage)
	}
	settings, err := config.LoadControl(c.String("config"))
	if err != nil {
		return err
	}
	list, err := ctrl.Rescue(ctrl.RescueConfig{
		Settings:     settings,
		Groups:       c.Uint32Slice("group"),
		Lineage:      uint64(time.Now().Unix()),
		AllowMissing: c.Bool("refound"),
	})
	for _, r := range list {
		fmt.Fprintf(c.Root().Writer, "group %d goes on from entry %d in term %d, held before: %t\n", r.Group, r.Index, r.Term, r.Held)
	}
	return err
}
