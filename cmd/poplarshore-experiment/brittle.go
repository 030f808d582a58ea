package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/experiment/brittle"
)

func newBrittleCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "brittle",
		Short: "Measure how often upstreams that must not be filled end, against the requests served",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runBrittle(cmd.OutOrStdout(), opts)
		},
	}
}

// runBrittle prints and writes both errors of each rule.
func runBrittle(w io.Writer, opts *options) error {
	rows := brittle.Run(opts.seeds)
	cells := make([][]string, len(rows))
	for i, r := range rows {
		cells[i] = []string{
			r.Scenario, string(r.Rule), fmt.Sprint(r.Runs), fmt.Sprintf("%.1f", r.Falls), fmt.Sprint(r.MaxFalls),
			fmt.Sprint(r.Allowed), fmt.Sprintf("%.1f%%", 100*r.Served),
		}
	}
	header := []string{"scenario", "rule", "runs", "falls", "at most", "allowed", "served"}
	if err := experiment.Table(w, header, cells); err != nil {
		return err
	}
	return experiment.WriteJSON(opts.figuresDir, "brittle", rows)
}
