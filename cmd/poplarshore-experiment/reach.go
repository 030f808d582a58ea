package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/experiment/reach"
)

// reachRunsPerSeed is the number of simulated runs for each seed of the options.
const reachRunsPerSeed = 10

func newReachCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "reach",
		Short: "Measure how soon, and how often wrongly, a VM takes its way to upstreams for lost",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runReach(cmd.OutOrStdout(), opts)
		},
	}
}

// runReach prints and writes both errors of each rule.
func runReach(w io.Writer, opts *options) error {
	rows := reach.Run(opts.seeds * reachRunsPerSeed)
	cells := make([][]string, len(rows))
	for i, r := range rows {
		missed, lost, regained := "-", "-", "-"
		if r.Cut {
			missed, lost, regained = fmt.Sprint(r.Missed), fmt.Sprintf("%.0f", r.LostMS), fmt.Sprintf("%.0f", r.RegainedMS)
		}
		cells[i] = []string{r.Scenario, string(r.Rule), fmt.Sprint(r.Runs), missed, lost, regained, fmt.Sprintf("%.0f", r.WrongMS), fmt.Sprintf("%.0f", r.MaxWrongMS)}
	}
	header := []string{"scenario", "rule", "runs", "missed", "lost ms", "back ms", "wrongly ms", "at most"}
	if err := experiment.Table(w, header, cells); err != nil {
		return err
	}
	return experiment.WriteJSON(opts.figuresDir, "reach", rows)
}
