package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/experiment/cascadecost"
)

func newCascadeCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "cascade",
		Short: "Measure the cost of a cascade at a quality target",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runCascade(cmd.OutOrStdout(), opts)
		},
	}
}

// runCascade measures all settings and prints and writes the results.
func runCascade(w io.Writer, opts *options) error {
	var rows []cascadecost.Row
	for _, s := range cascadecost.Settings() {
		rows = append(rows, cascadecost.Run(s, opts.seeds)...)
	}
	if err := cascadeTable(w, rows); err != nil {
		return err
	}
	if err := experiment.WriteJSON(opts.figuresDir, "cascade-cost", rows); err != nil {
		return err
	}
	return cascadeFigures(opts.figuresDir, rows)
}

// cascadeTable prints a row for each setting and policy.
func cascadeTable(w io.Writer, rows []cascadecost.Row) error {
	header := []string{"setting", "policy", "cost/strong", "cost/oracle", "quality", "lowest window", "cheap share", "unrated", "p99 s", "late"}
	cells := make([][]string, len(rows))
	for i, r := range rows {
		cells[i] = []string{
			r.Setting, r.Policy, r.Cost.String(), r.OverOracle.String(), r.Quality.String(), r.LowestWindow.String(),
			fmt.Sprintf("%.3f", r.CheapShare.Mean), fmt.Sprintf("%.0f", r.Unrated.Mean),
			fmt.Sprintf("%.2f", r.P99.Mean), fmt.Sprintf("%.4f", r.Late.Mean),
		}
	}
	return experiment.Table(w, header, cells)
}

// cascadeFigures draws the cost over the delivered quality, as a curve for each policy whose
// points are the settings that differ only in the quality target, and the raterFigure.
func cascadeFigures(dir string, rows []cascadecost.Row) error {
	curves := []string{"fixed, tuned in hindsight", "equal slope, tuned in hindsight", "poplarshore", "oracle"}
	lines := make([]experiment.Line, len(curves))
	for i, policy := range curves {
		lines[i].Name = policy
		for _, setting := range []string{"target 0.85", "base", "target 0.90"} {
			r := findRow(rows, setting, policy)
			lines[i].X = append(lines[i].X, r.Quality.Mean)
			lines[i].Y = append(lines[i].Y, r.Cost.Mean)
		}
	}
	labels := experiment.Labels{Title: "Cost of a cascade at a quality", X: "mean quality delivered", Y: "cost / always strong"}
	if err := experiment.WriteLines(dir, "cascade-cost", labels, lines); err != nil {
		return err
	}
	return raterFigure(dir, rows)
}

// raterFigure draws the cost with a rating service that works normally, rates 20 % of the
// responses, is down for half of the time, or takes 3 s.
func raterFigure(dir string, rows []cascadecost.Row) error {
	settings := []string{"base", "rater partial 20%", "rater out for half", "rater 3 s, deadline 8 s"}
	policies := []string{"fixed 0.8", "poplarshore", "poplarshore, class mean"}
	groups := make([]experiment.Bars, len(policies))
	for i, policy := range policies {
		groups[i].Name = policy
		for _, setting := range settings {
			groups[i].Values = append(groups[i].Values, findRow(rows, setting, policy).Cost.Mean)
		}
	}
	labels := experiment.Labels{Title: "Cost with an ailing rating service", X: "setting", Y: "cost / always strong"}
	return experiment.WriteBars(dir, "cascade-rater", labels, settings, groups)
}

// findRow returns the row of a setting and policy, or the zero row if there is none.
func findRow(rows []cascadecost.Row, setting, policy string) cascadecost.Row {
	for _, r := range rows {
		if r.Setting == setting && r.Policy == policy {
			return r
		}
	}
	return cascadecost.Row{}
}
