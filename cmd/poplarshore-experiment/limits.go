package main

import (
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/experiment/shares"
)

// limitsRow is the result of one policy in one scenario, summarised over the seeds. The
// fields are those of shares.Result.
type limitsRow struct {
	Scenario    string             `json:"scenario"`
	Policy      shares.Policy      `json:"policy"`
	Admitted    experiment.Summary `json:"admitted"`
	WorstWindow experiment.Summary `json:"worst_window"`
	Refused     experiment.Summary `json:"refused_share"`
}

func newLimitsCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "limits",
		Short: "Measure how well VMs enforce and use up a shared limit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows := runLimits(opts.seeds)
			header := []string{"scenario", "policy", "admitted / limit", "worst 10 s / limit", "refused"}
			var cells [][]string
			for _, r := range rows {
				cells = append(cells, []string{r.Scenario, string(r.Policy), r.Admitted.String(), r.WorstWindow.String(), r.Refused.String()})
			}
			if err := experiment.Table(cmd.OutOrStdout(), header, cells); err != nil {
				return err
			}
			return saveLimits(opts.figuresDir, rows)
		},
	}
}

// runLimits runs each policy in each scenario with seeds 1 to seeds.
func runLimits(seeds int) []limitsRow {
	var rows []limitsRow
	for _, s := range shares.Scenarios() {
		for _, p := range shares.Policies() {
			var runs []shares.Result
			for seed := range seeds {
				runs = append(runs, shares.Run(s, p, uint64(seed+1)))
			}
			rows = append(rows, limitsRow{
				Scenario:    s.Name,
				Policy:      p,
				Admitted:    summariseRuns(runs, func(r shares.Result) float64 { return r.Admitted }),
				WorstWindow: summariseRuns(runs, func(r shares.Result) float64 { return r.WorstWindow }),
				Refused:     summariseRuns(runs, func(r shares.Result) float64 { return r.Refused }),
			})
		}
	}
	return rows
}

// saveLimits writes the rows and a figure of the worst window. The figure names the scenarios
// A, B and so on, in the order of the table.
func saveLimits(dir string, rows []limitsRow) error {
	if err := experiment.WriteJSON(dir, "limits", rows); err != nil {
		return err
	}
	var groups []experiment.Bars
	for _, p := range shares.Policies() {
		bars := experiment.Bars{Name: string(p)}
		for _, r := range rows {
			if r.Policy == p {
				bars.Values = append(bars.Values, r.WorstWindow.Mean)
			}
		}
		groups = append(groups, bars)
	}
	var names []string
	for i := range shares.Scenarios() {
		names = append(names, string(rune('A'+i)))
	}
	labels := experiment.Labels{Title: "Worst 10 s over the limit, scenarios in the table's order", Y: "admitted / limit"}
	return experiment.WriteBars(dir, "limits", labels, names, groups)
}
