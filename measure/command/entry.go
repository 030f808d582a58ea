package command

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/measure/entrycost"
	"github.com/poplarshore/poplarshore/measure/figure"
)

// entryCommand returns the command that measures the overhead of the entry.
func entryCommand() *cobra.Command {
	var (
		outputDir string
		repeats   int
		o         entrycost.RunOptions
	)
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Measure the overhead of the entry",
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
			return set.Save(outputDir)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&outputDir, "out", defaultFiguresDir, "directory of the saved figures")
	flags.IntVar(&repeats, "repeats", 3, "number of repetitions of all measurements")
	flags.Float64Var(&o.Rate, "rate", 400, "requests per second in the comparison of latencies, half of them direct")
	flags.IntVar(&o.Count, "count", 6000, "number of requests in each comparison of latencies")
	flags.IntVar(&o.Streams, "streams", 64, "concurrent streams in the measurement of the throughput")
	flags.DurationVar(&o.Duration, "duration", 5*time.Second, "duration of the measurement of the throughput")
	flags.IntVar(&o.MemoryStreams, "held", 1000, "number of open streams whose memory is measured")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the arrivals and of the choice between direct requests and the entry")
	return cmd
}
