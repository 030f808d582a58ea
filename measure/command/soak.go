package command

import (
	"encoding/json"
	"time"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/measure/soak"
)

// soakCommand returns the command that runs a soak test and prints its report.
func soakCommand() *cobra.Command {
	var o soak.Options
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run mixed traffic under faults and check the guarantees to callers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := soak.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(cmd.OutOrStdout())
			encoder.SetIndent("", " ")
			if err := encoder.Encode(report); err != nil {
				return ErrFlag.Wrap(err, "could not write the report")
			}
			if len(report.Violations) > 0 {
				return ErrViolation.New("%d violations of guarantees", len(report.Violations))
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the traffic and the faults")
	flags.DurationVar(&o.Duration, "duration", 20*time.Minute, "duration of the traffic")
	flags.Float64Var(&o.Rate, "rate", 200, "requests per second")
	flags.IntVar(&o.FaultEvery, "fault-every", 20, "requests from one fault to the next")
	flags.IntVar(&o.RestartEvery, "restart-every", 5000, "requests from one restart of an entry VM to the next")
	flags.IntVar(&o.SwitchEvery, "flip-every", 3000, "requests from one change of the current version to the next")
	flags.IntVar(&o.VMs, "vms", 3, "number of entry VMs")
	flags.IntVar(&o.Engines, "engines", 4, "number of model engines")
	flags.BoolVar(&o.SilentServices, "silent-services", true, "enable faults in which a service does not respond")
	return cmd
}
