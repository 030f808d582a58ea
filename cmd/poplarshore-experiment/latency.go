package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/experiment/latency"
	"github.com/poplarshore/poplarshore/route"
)

// namedPolicy is a routing policy to measure. make returns a new selector for each run.
type namedPolicy struct {
	name string
	make func() route.Selector
}

// Parameters of route.HotCold: candidates per draw, and the quantile of their request counts
// above which one is hot.
const (
	hotColdSample   = 3
	hotColdQuantile = 0.75
)

// routeFlags are the flags for parameters of the route package's own policy. sample is the
// number of candidates drawn; remotePerLocal is route.QueueScorer.RemotePerLocal.
type routeFlags struct {
	sample         int
	remotePerLocal float64
}

// defaultRouteFlags returns the values of route.DefaultOptions.
func defaultRouteFlags() routeFlags {
	o := route.DefaultOptions()
	f := routeFlags{sample: o.Sample}
	for _, s := range o.Scorers {
		if q, ok := s.(route.QueueScorer); ok {
			f.remotePerLocal = q.RemotePerLocal
		}
	}
	return f
}

// options returns route.DefaultOptions with the parameters of the flags.
func (f routeFlags) options() route.Options {
	o := route.DefaultOptions()
	o.Sample = f.sample
	for i, s := range o.Scorers {
		if q, ok := s.(route.QueueScorer); ok {
			q.RemotePerLocal = f.remotePerLocal
			o.Scorers[i] = q
		}
	}
	return o
}

// latencyPolicies returns the policies to compare. The first one is the reference of the
// table's ratios.
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

// latencyRow is the result of one policy, summarised over the seeds. Crossed is the share of
// requests sent to another region, Cached the share of prompt blocks found in a cache.
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
		Short: "Measure the time to the first token by routing policy, with delayed load reports",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows := runLatency(o, latencyPolicies(f), opts.seeds)
			if err := printLatency(cmd.OutOrStdout(), rows); err != nil {
				return err
			}
			return saveLatency(opts.figuresDir, name, rows)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&name, "name", name, "name of the JSON and SVG files")
	flags.IntVar(&o.Engines, "engines", o.Engines, "number of engines")
	flags.IntVar(&o.VMs, "vms", o.VMs, "number of entry VMs")
	flags.Float64Var(&o.Load, "load", o.Load, "offered load as a fraction of the engines' capacity")
	flags.BoolVar(&o.Skewed, "skewed", o.Skewed, "make engines, callers and other senders uneven")
	flags.Float64Var(&o.CostWeight, "cost-weight", o.CostWeight, "weight of cost, relative to a weight of 1 for latency")
	flags.IntVar(&f.sample, "sample", f.sample, "number of candidates that the route policy draws")
	flags.Float64Var(&f.remotePerLocal, "echo", f.remotePerLocal, "requests by other senders since the last report that are assumed for each local one")
	flags.DurationVar(&o.ReportLag, "report-lag", o.ReportLag, "delay of load reports")
	flags.DurationVar(&o.Duration, "duration", o.Duration, "simulated time that is measured")
	return cmd
}

// runLatency runs each policy with seeds 1 to seeds.
func runLatency(o latency.Options, policies []namedPolicy, seeds int) []latencyRow {
	var rows []latencyRow
	for _, p := range policies {
		row := latencyRow{Policy: p.name}
		for seed := range seeds {
			row.Runs = append(row.Runs, latency.Run(o, uint64(seed+1), p.make))
		}
		row.P50 = summariseRuns(row.Runs, func(r latency.Result) float64 { return r.P50 })
		row.P99 = summariseRuns(row.Runs, func(r latency.Result) float64 { return r.P99 })
		row.Crossed = summariseRuns(row.Runs, func(r latency.Result) float64 { return r.CrossRegionShare })
		row.Cached = summariseRuns(row.Runs, func(r latency.Result) float64 { return r.CachedShare })
		rows = append(rows, row)
	}
	return rows
}

// summariseRuns summarises one value of each run.
func summariseRuns[T any](runs []T, measure func(T) float64) experiment.Summary {
	values := make([]float64, len(runs))
	for i, r := range runs {
		values[i] = measure(r)
	}
	return experiment.Summarise(values)
}

// printLatency prints a row for each policy.
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

// saveLatency writes the rows and a figure of their median and 99th percentile.
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
