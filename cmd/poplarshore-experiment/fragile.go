package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/experiment/fragile"
)

func newFragileCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "fragile",
		Short: "Measure how often upstreams that must not be filled end, against the requests served",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runFragile(cmd.OutOrStdout(), opts)
		},
	}
}

// runFragile prints and writes both errors of each rule.
func runFragile(w io.Writer, opts *options) error {
	rows := fragile.Run(opts.seeds)
	cells := make([][]string, len(rows))
	for i, r := range rows {
		cells[i] = []string{
			r.Scenario, string(r.Rule), fmt.Sprint(r.Runs), fmt.Sprintf("%.1f", r.Ends), fmt.Sprint(r.MaxEnds),
			fmt.Sprint(r.Allowed), fmt.Sprintf("%.1f%%", 100*r.Served),
		}
	}
	header := []string{"scenario", "rule", "runs", "ends", "at most", "allowed", "served"}
	if err := experiment.Table(w, header, cells); err != nil {
		return err
	}
	return experiment.WriteJSON(opts.figuresDir, "fragile", rows)
}
