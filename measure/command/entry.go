package command

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/measure/entrycost"
	"github.com/poplarshore/poplarshore/measure/figure"
)

func entryCommand() *cobra.Command {
	var (
		out     string
		repeats int
		o       entrycost.RunOptions
	)
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Measure what the entry adds to a request",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set := &figure.Set{
				Name: entrycost.SetName, Command: "go run ./cmd/poplarshore-measure entry", Machine: figure.ThisMachine(),
			}
			for i := range repeats {
				run := o
				run.Seed += uint64(i)
				if _, _, err := entrycost.Run(cmd.Context(), run, set); err != nil {
					return err
				}
			}
			printSet(cmd.OutOrStdout(), set)
			return set.Save(out)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&out, "out", defaultFigures, "directory of the saved figures")
	flags.IntVar(&repeats, "repeats", 3, "measurements")
	flags.Float64Var(&o.Rate, "rate", 400, "requests per second in the comparison, half of them direct")
	flags.IntVar(&o.Count, "count", 6000, "requests in the comparison")
	flags.IntVar(&o.Streams, "streams", 64, "streams at once in the throughput")
	flags.DurationVar(&o.Duration, "duration", 5*time.Second, "duration of the throughput")
	flags.IntVar(&o.Held, "held", 1000, "open streams whose memory is measured")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals")
	return cmd
}
