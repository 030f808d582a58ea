package main

import (
	"fmt"
	"io"
	"math"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/experiment/exposure"
)

func newRolloutCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "rollout",
		Short: "Measure the exposure to bad versions and the rate of false stops",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runRollout(cmd.OutOrStdout(), opts)
		},
	}
}

// runRollout measures exposure and false stops and prints and writes the results.
func runRollout(w io.Writer, opts *options) error {
	rows := exposure.Run(opts.seeds)
	if err := exposureTable(w, rows); err != nil {
		return err
	}
	if err := experiment.WriteJSON(opts.figuresDir, "rollout-exposure", rows); err != nil {
		return err
	}
	if err := exposureFigure(opts.figuresDir, rows); err != nil {
		return err
	}
	return runFalseStops(w, opts)
}

// unevenRateStdDev is the standard deviation of the natural logarithm of the rates of errors,
// slow responses and low ratings, in the case with uneven rates.
const unevenRateStdDev = 0.3

// runFalseStops measures how often good versions are stopped, in roll-outs and while in
// service.
func runFalseStops(w io.Writer, opts *options) error {
	cases := []exposure.FalseStops{
		exposure.MeasureRollouts(opts.seeds),
		exposure.MeasureWatch("steady version watched", 0, opts.seeds),
		exposure.MeasureWatch("version with uneven rates watched", unevenRateStdDev, opts.seeds),
	}
	cells := make([][]string, len(cases))
	for i, c := range cases {
		cells[i] = []string{
			c.Case, fmt.Sprint(c.Months), fmt.Sprint(c.Tests), fmt.Sprint(c.Stops),
			fmt.Sprintf("%.3f", c.PerMonth), fmt.Sprint(c.ZTestStops), c.Minutes.String(),
		}
	}
	header := []string{"case", "months", "tests", "false stops", "a month", "repeated z test", "minutes"}
	if err := experiment.Table(w, header, cells); err != nil {
		return err
	}
	return experiment.WriteJSON(opts.figuresDir, "rollout-false-stops", cases)
}

// exposureTable prints a row for each scenario and fault.
func exposureTable(w io.Writer, rows []exposure.Row) error {
	cells := make([][]string, len(rows))
	for i, r := range rows {
		cells[i] = []string{r.Scenario, r.Fault, r.Manual.String(), r.Exposed.String(), r.SecondsToStop.String(), r.Ratio.String()}
	}
	return experiment.Table(w, []string{"scenario", "fault", "manual stop", "exposed", "seconds", "ratio"}, cells)
}

// exposureFigure draws the decimal logarithm of the exposure ratio of each scenario and fault.
// Rows of a scenario must be adjacent.
func exposureFigure(dir string, rows []exposure.Row) error {
	var scenarios []string
	var groups []experiment.Bars
	for _, r := range rows {
		if len(scenarios) == 0 || scenarios[len(scenarios)-1] != r.FigureLabel {
			scenarios = append(scenarios, r.FigureLabel)
		}
		if len(scenarios) == 1 {
			groups = append(groups, experiment.Bars{Name: r.Fault})
		}
		group := &groups[indexOf(groups, r.Fault)]
		group.Values = append(group.Values, math.Log10(r.Ratio.Mean))
	}
	labels := experiment.Labels{Title: "Exposure with a manual stop over that of the roll-out", X: "the version is bad", Y: "ratio, log10"}
	return experiment.WriteBars(dir, "rollout-exposure", labels, scenarios, groups)
}

// indexOf returns the index of the group with the given name, or 0 if there is none.
func indexOf(groups []experiment.Bars, name string) int {
	for i, g := range groups {
		if g.Name == name {
			return i
		}
	}
	return 0
}
