// Package command is the command line of the soak.
package command

import (
	"encoding/json"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/soak"
)

var namespace = errorx.NewNamespace("soak_command")

// ErrBroken reports runs in which a promise was broken.
var ErrBroken = namespace.NewType("broken")

// New returns the command line.
func New() *cobra.Command {
	o := soak.DefaultOptions()
	runs := 1
	cmd := &cobra.Command{
		Use:   "poplarshore-soak",
		Short: "Run gateways under injected faults and check what callers and upstreams see",
		Example: "  go build -o target/ ./cmd/poplarshored ./cmd/poplarshore-soak\n" +
			"  target/poplarshore-soak --binary target/poplarshored --seed 1 --runs 50 --duration 20s",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(cmd *cobra.Command, _ []string) error { return run(cmd, o, runs) },
	}
	f := cmd.Flags()
	f.StringVar(&o.Binary, "binary", "target/poplarshored", "path of poplarshored")
	f.StringVar(&o.Dir, "dir", "", "folder for settings and logs; empty takes a new one for each run")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the first run; each further one adds 1")
	f.IntVar(&runs, "runs", runs, "number of runs")
	f.DurationVar(&o.Duration, "duration", o.Duration, "time of traffic with faults of a run")
	f.Float64Var(&o.Rate, "rate", o.Rate, "requests a second")
	f.IntVar(&o.VMs, "vms", o.VMs, "gateway processes")
	f.IntVar(&o.Engines, "engines", o.Engines, "model engines")
	f.IntVar(&o.Hands, "hands", o.Hands, "faults at the same time")
	return cmd
}

// run prints a line of JSON a run.
func run(cmd *cobra.Command, o soak.Options, runs int) error {
	broken := 0
	for range runs {
		report, err := soak.Run(cmd.Context(), o)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(cmd.OutOrStdout()).Encode(report); err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			broken++
		}
		o.Seed++
	}
	if broken > 0 {
		return ErrBroken.New("%d of %d runs broke a promise", broken, runs)
	}
	return nil
}
