package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/experiment/slowstart"
)

func newSlowStartCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "slowstart",
		Short: "Measure how often new upstreams are flooded or left idle",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runSlowStart(cmd.OutOrStdout(), opts)
		},
	}
}

// runSlowStart prints and writes both errors of each way.
func runSlowStart(w io.Writer, opts *options) error {
	rows := slowstart.Run(opts.seeds)
	cells := make([][]string, len(rows))
	for i, r := range rows {
		cells[i] = []string{
			r.Scenario, string(r.Way), fmt.Sprint(r.Runs), fmt.Sprintf("%.1f%%", 100*r.Flooded),
			fmt.Sprintf("%.1f%%", 100*r.Idle), fmt.Sprintf("%.2f%%", 100*r.Late),
		}
	}
	header := []string{"scenario", "way", "runs", "flooded", "idle", "late of all"}
	if err := experiment.Table(w, header, cells); err != nil {
		return err
	}
	return experiment.WriteJSON(opts.figuresDir, "slowstart", rows)
}
