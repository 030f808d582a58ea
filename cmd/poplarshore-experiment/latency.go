package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/experiment/latency"
	"github.com/poplarshore/poplarshore/route"
)

// namedPolicy is a routing policy under measurement.
type namedPolicy struct {
	name string
	make func() route.Selector
}

const (
	hotColdSample   = 3
	hotColdQuantile = 0.75
)

// routeFlags vary the measured policy.
type routeFlags struct {
	sample int
	echo   float64
}

func defaultRouteFlags() routeFlags {
	o := route.DefaultOptions()
	f := routeFlags{sample: o.Sample}
	for _, s := range o.Scorers {
		if q, ok := s.(route.QueueScorer); ok {
			f.echo = q.RemotePerLocal
		}
	}
	return f
}

func (f routeFlags) options() route.Options {
	o := route.DefaultOptions()
	o.Sample = f.sample
	for i, s := range o.Scorers {
		if q, ok := s.(route.QueueScorer); ok {
			q.RemotePerLocal = f.echo
			o.Scorers[i] = q
		}
	}
	return o
}

func latencyPolicies(f routeFlags) []namedPolicy {
	filters := route.DefaultFilters()
	return []namedPolicy{
		{"route", func() route.Selector { return route.NewPolicy(f.options()) }},
		{"round robin", func() route.Selector { return &route.RoundRobin{Filters: filters} }},
		{"least requests", func() route.Selector { return route.LeastRequests{Filters: filters} }},
		{"random", func() route.Selector { return route.Random{Filters: filters} }},
		{"hot-cold", func() route.Selector {
			return route.HotCold{Filters: filters, Sample: hotColdSample, Quantile: hotColdQuantile}
		}},
	}
}

// latencyRow is one policy's outcome over the seeds.
type latencyRow struct {
	Policy  string             `json:"policy"`
	P50     experiment.Summary `json:"p50_ms"`
	P99     experiment.Summary `json:"p99_ms"`
	Crossed experiment.Summary `json:"crossed_share"`
	Cached  experiment.Summary `json:"cached_share"`
	Runs    []latency.Result   `json:"runs"`
}

func newLatencyCommand(opts *options) *cobra.Command {
	o := latency.DefaultOptions()
	f := defaultRouteFlags()
	name := "latency"
	cmd := &cobra.Command{
		Use:   "latency",
		Short: "First-token latency by routing policy, with late load reports",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows := runLatency(o, latencyPolicies(f), opts.seeds)
			if err := printLatency(cmd.OutOrStdout(), rows); err != nil {
				return err
			}
			return saveLatency(opts.out, name, rows)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&name, "name", name, "name of the figure")
	flags.IntVar(&o.Engines, "engines", o.Engines, "engines")
	flags.IntVar(&o.VMs, "vms", o.VMs, "entry VMs")
	flags.Float64Var(&o.Load, "load", o.Load, "offered work over capacity")
	flags.BoolVar(&o.Skewed, "skewed", o.Skewed, "uneven engines, callers and other senders")
	flags.Float64Var(&o.CostWeight, "cost-weight", o.CostWeight, "weight of cost; that of latency is 1")
	flags.IntVar(&f.sample, "sample", f.sample, "candidates that route draws")
	flags.Float64Var(&f.echo, "echo", f.echo, "other senders' recent requests assumed for each own")
	flags.DurationVar(&o.ReportLag, "report-lag", o.ReportLag, "age of load reports on arrival")
	flags.DurationVar(&o.Duration, "duration", o.Duration, "virtual time measured")
	return cmd
}

func runLatency(o latency.Options, policies []namedPolicy, seeds int) []latencyRow {
	var rows []latencyRow
	for _, p := range policies {
		row := latencyRow{Policy: p.name}
		for seed := range seeds {
			row.Runs = append(row.Runs, latency.Run(o, uint64(seed+1), p.make))
		}
		row.P50 = over(row.Runs, func(r latency.Result) float64 { return r.P50 })
		row.P99 = over(row.Runs, func(r latency.Result) float64 { return r.P99 })
		row.Crossed = over(row.Runs, func(r latency.Result) float64 { return r.Crossed })
		row.Cached = over(row.Runs, func(r latency.Result) float64 { return r.Cached })
		rows = append(rows, row)
	}
	return rows
}

// over summarises one measure of the runs.
func over[T any](runs []T, measure func(T) float64) experiment.Summary {
	values := make([]float64, len(runs))
	for i, r := range runs {
		values[i] = measure(r)
	}
	return experiment.Summarise(values)
}

func printLatency(w io.Writer, rows []latencyRow) error {
	header := []string{"policy", "p50 ms", "p99 ms", "p99 / route", "crossed", "cached"}
	var cells [][]string
	for _, r := range rows {
		cells = append(cells, []string{
			r.Policy, r.P50.String(), r.P99.String(), fmt.Sprintf("%.2f", r.P99.Mean/rows[0].P99.Mean),
			r.Crossed.String(), r.Cached.String(),
		})
	}
	return experiment.Table(w, header, cells)
}

func saveLatency(dir, name string, rows []latencyRow) error {
	if err := experiment.WriteJSON(dir, name, rows); err != nil {
		return err
	}
	var names []string
	p50, p99 := experiment.Bars{Name: "p50"}, experiment.Bars{Name: "p99"}
	for _, r := range rows {
		names = append(names, r.Policy)
		p50.Values = append(p50.Values, r.P50.Mean)
		p99.Values = append(p99.Values, r.P99.Mean)
	}
	labels := experiment.Labels{Title: "Time to the first token", Y: "milliseconds"}
	return experiment.WriteBars(dir, name, labels, names, []experiment.Bars{p50, p99})
}
