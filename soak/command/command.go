// Package command implements the command line of poplarshore-soak.
package command

import (
	"encoding/json"
	"os"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/soak"
)

var namespace = errorx.NewNamespace("soak_command")

// ErrViolation reports that at least one run had violations.
var ErrViolation = namespace.NewType("broken")

// New returns the command of poplarshore-soak. Its Execute returns ErrViolation, or
// soak.ErrStart if a run could not start.
func New() *cobra.Command {
	o := soak.DefaultOptions()
	runs, cuts := 1, true
	cmd := &cobra.Command{
		Use:   "poplarshore-soak",
		Short: "Run gateways under injected faults and check what callers and upstreams see",
		Example: "  go build -o target/ ./cmd/poplarshored ./cmd/poplarshore-soak\n" +
			"  target/poplarshore-soak --binary target/poplarshored --seed 1 --runs 50 --duration 20s",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cuts {
				self, err := os.Executable()
				if err != nil {
					return soak.ErrStart.Wrap(err, "find own program")
				}
				o.CuttableBinary = self
			}
			return run(cmd, o, runs)
		},
	}
	cmd.AddCommand(newGatewayCommand())
	f := cmd.Flags()
	f.StringVar(&o.Binary, "binary", "target/poplarshored", "path of poplarshored")
	f.StringVar(&o.Dir, "dir", "", "directory for settings and logs; empty creates a new one for each run")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the first run; it increases by 1 for each further run")
	f.IntVar(&runs, "runs", runs, "number of runs")
	f.DurationVar(&o.Duration, "duration", o.Duration, "time of each run during which faults are injected")
	f.Float64Var(&o.Rate, "rate", o.Rate, "requests per second")
	f.IntVar(&o.VMs, "vms", o.VMs, "number of gateway processes")
	f.IntVar(&o.Engines, "engines", o.Engines, "number of model engines")
	f.IntVar(&o.ConcurrentFaults, "hands", o.ConcurrentFaults, "maximum number of faults at the same time")
	f.BoolVar(&o.Limits, "limits", o.Limits, "let engines name limits, as one of the faults")
	f.BoolVar(&o.Crashes, "crashes", o.Crashes, "let requests crash engines, as one of the faults")
	f.BoolVar(&o.Answers, "answers", o.Answers, "let upstreams repeat refusals, cut heads and answer resumed streams with errors, as one of the faults")
	f.BoolVar(&o.Regions, "regions", o.Regions, "evacuate failure domains and change the home regions of a route, as two of the faults")
	f.BoolVar(&o.LostConnections, "lost-connections", o.LostConnections, "let open connections to the store fall silent for good, as one of the faults")
	f.BoolVar(&o.SiteSettings, "site-settings", o.SiteSettings, "give the VMs the settings that the deployment of the smallest VMs renders")
	f.BoolVar(&o.SlowParts, "slow-parts", o.SlowParts, "suspend the store, take processor time from VMs and disturb the way between VMs, as some of the faults")
	f.BoolVar(&o.Configurations, "configurations", o.Configurations, "change all parts of configurations, also in storms, and remove upstreams that don't say that they leave, as some of the faults")
	f.BoolVar(&o.SlowVersions, "slow-versions", o.SlowVersions, "roll out slow and good versions beside bursts of streams, as two of the faults, on engines that take longer the more they run")
	f.IntVar(&o.LateCallers, "late-callers", o.LateCallers, "number of callers that send bodies slowly and reopen their connections")
	f.BoolVar(&o.Silences, "silence", o.Silences, "let sound engines send nothing for a moment, as one of the faults, and check that requests are answered")
	f.BoolVar(&o.Floods, "floods", o.Floods, "let engines send bytes that are no answer without end, as one of the faults, to VMs with little memory")
	f.StringSliceVar(&o.FloodPlaces, "flood-places", nil, "let floods go on at these places of a response only; default all")
	f.BoolVar(&o.OddRows, "odd-rows", o.OddRows, "write odd entries among those of the engines, as one of the faults")
	f.BoolVar(&o.Fragile, "fragile", o.Fragile, "let engines end if they have to reject requests, as one of the faults")
	f.BoolVar(&cuts, "cuts", true, "cut gateways off from engines, as one of the faults; they then run within this program instead of --binary")
	f.StringSliceVar(&o.Only, "only", nil, "inject only faults of these kinds; default all")
	f.BoolVar(&o.Restores, "restores", o.Restores, "restore the store from older copies, as one of the faults")
	return cmd
}

// run does the runs and prints the report of each as a line of JSON.
func run(cmd *cobra.Command, o soak.Options, runs int) error {
	failedRuns := 0
	for range runs {
		report, err := soak.Run(cmd.Context(), o)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(cmd.OutOrStdout()).Encode(report); err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			failedRuns++
		}
		o.Seed++
	}
	if failedRuns > 0 {
		return ErrViolation.New("%d of %d runs had violations", failedRuns, runs)
	}
	return nil
}
