package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/experiment/cold"
)

func newColdCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "cold",
		Short: "Measure what VMs together send cold upstreams beyond the bound, against the rate left unused",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runCold(cmd.OutOrStdout(), opts)
		},
	}
}

// runCold prints and writes both errors of each way.
func runCold(w io.Writer, opts *options) error {
	rows := cold.Run(opts.seeds)
	cells := make([][]string, len(rows))
	for i, r := range rows {
		cells[i] = []string{
			r.Scenario, string(r.Way), fmt.Sprint(r.Runs), fmt.Sprint(r.Most),
			fmt.Sprintf("%.1f%%", 100*r.Beyond), fmt.Sprintf("%.1f%%", 100*r.Unused),
		}
	}
	header := []string{"scenario", "way", "runs", "most in a second", "upstreams beyond", "unused"}
	if err := experiment.Table(w, header, cells); err != nil {
		return err
	}
	return experiment.WriteJSON(opts.figuresDir, "cold", rows)
}
