package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/experiment/deadline"
)

// rolloutsPerSeed is the number of simulated roll-outs for each seed of the options.
const rolloutsPerSeed = 40

func newDeadlineCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "deadline",
		Short: "Measure how often roll-outs with a deadline complete bad versions or revert good ones",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDeadline(cmd.OutOrStdout(), opts)
		},
	}
}

// runDeadline prints and writes how the roll-outs of both rules ended.
func runDeadline(w io.Writer, opts *options) error {
	rows := deadline.Run(opts.seeds * rolloutsPerSeed)
	cells := make([][]string, len(rows))
	for i, r := range rows {
		cells[i] = []string{
			r.Service, r.Fault, r.Rule, fmt.Sprint(r.Runs), fmt.Sprint(r.Completed), fmt.Sprint(r.Reverted),
			fmt.Sprint(r.Undecided), fmt.Sprint(r.Late), fmt.Sprintf("%.2f", r.MeanExposed), fmt.Sprintf("%.2f", r.MaxExposed),
		}
	}
	header := []string{"service", "fault", "rule", "runs", "completed", "reverted", "undecided", "late", "exposed", "at most"}
	if err := experiment.Table(w, header, cells); err != nil {
		return err
	}
	return experiment.WriteJSON(opts.figuresDir, "rollout-deadline", rows)
}
