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
		Usage: "recover groups from one stopped control host after a majority was lost permanently",
		Description: "Data held only by the lost hosts is lost: committed writes, and keys of executed requests,\n" +
			"which may be executed again. Empty the lost hosts' data folders before restarting them.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "read the surviving host's settings from `FILE`", Required: true},
			&cli.Uint32SliceFlag{Name: "group", Usage: "recover group `NUMBER`; 0 is the fleet group", Required: true},
			&cli.BoolFlag{Name: "refound", Usage: "recreate groups that no folder holds any more, without their keys"},
			&cli.BoolFlag{Name: "accept-loss", Usage: "confirm that the data loss is acceptable"},
		},
		Action: rescue,
	}
}

func rescue(_ context.Context, c *cli.Command) error {
	if !c.Bool("accept-loss") {
		return errors.Errorf("rescue loses all data that only the lost hosts held; confirm with --accept-loss: %w", errUsage)
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
