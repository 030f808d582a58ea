package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/experiment/blame"
)

// crashRunsPerSeed is the number of simulated runs for each seed of the options.
const crashRunsPerSeed = 4

func newBlameCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "blame",
		Short: "Measure how often requests that crash upstreams arrive late, and sound ones are kept out",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runBlame(cmd.OutOrStdout(), opts)
		},
	}
}

// runBlame prints and writes both errors of each rule.
func runBlame(w io.Writer, opts *options) error {
	rows := blame.Run(opts.seeds * crashRunsPerSeed)
	cells := make([][]string, len(rows))
	for i, r := range rows {
		cells[i] = []string{
			r.Scenario, string(r.Rule), fmt.Sprint(r.Runs), fmt.Sprintf("%.1f", r.Ends), fmt.Sprintf("%.1f", r.Late),
			fmt.Sprint(r.MaxLate), fmt.Sprint(r.Over), fmt.Sprintf("%.2f%%", 100*r.KeptOut), fmt.Sprintf("%.2f%%", 100*r.MaxKeptOut),
		}
	}
	header := []string{"scenario", "rule", "runs", "ends", "late", "at most", "over three", "kept out", "at most"}
	if err := experiment.Table(w, header, cells); err != nil {
		return err
	}
	return experiment.WriteJSON(opts.figuresDir, "crash-blame", rows)
}
