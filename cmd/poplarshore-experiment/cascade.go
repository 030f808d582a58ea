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
		Short: "Measure a cascade's cost at a quality target",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runCascade(cmd.OutOrStdout(), opts)
		},
	}
}

func runCascade(w io.Writer, opts *options) error {
	var rows []cascadecost.Row
	for _, s := range cascadecost.Settings() {
		rows = append(rows, cascadecost.Run(s, opts.seeds)...)
	}
	if err := cascadeTable(w, rows); err != nil {
		return err
	}
	if err := experiment.WriteJSON(opts.out, "cascade-cost", rows); err != nil {
		return err
	}
	return cascadeFigure(opts.out, rows)
}

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

// cascadeFigure draws cost over quality, a curve for each policy along the
// settings that differ in the target alone.
func cascadeFigure(dir string, rows []cascadecost.Row) error {
	index := make(map[string]int)
	var groups []experiment.Bars
	var categories []string
	for _, r := range rows {
		if len(categories) == 0 || categories[len(categories)-1] != r.Setting {
			categories = append(categories, r.Setting)
		}
		if r.Policy == "always strong" || r.Policy == "always cheap" {
			continue
		}
		i, ok := index[r.Policy]
		if !ok {
			i = len(groups)
			index[r.Policy] = i
			groups = append(groups, experiment.Bars{Name: r.Policy})
		}
		groups[i].Values = append(groups[i].Values, r.OverOracle.Mean)
	}
	labels := experiment.Labels{Title: "Cost of a cascade over the oracle's", X: "setting", Y: "cost / oracle"}
	return experiment.WriteBars(dir, "cascade-cost", labels, categories, groups)
}
