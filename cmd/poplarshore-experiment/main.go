// Command poplarshore-experiment measures the decision policies against named
// baselines. Each subcommand prints a table and writes its figures as JSON and
// SVG.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

// options are the flags that every experiment shares.
type options struct {
	// out is the folder for figures.
	out string
	// seeds is the number of seeded runs for each policy.
	seeds int
}

const (
	defaultOut   = "docs/figures"
	defaultSeeds = 5
)

func newRootCommand() *cobra.Command {
	opts := &options{}
	root := &cobra.Command{
		Use:          "poplarshore-experiment",
		Short:        "Measure the decision policies against baselines",
		SilenceUsage: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&opts.out, "out", defaultOut, "folder for figures")
	flags.IntVar(&opts.seeds, "seeds", defaultSeeds, "seeded runs for each policy")
	root.AddCommand(experimentCommands(opts)...)
	return root
}

// experimentCommands lists every experiment.
func experimentCommands(opts *options) []*cobra.Command {
	return []*cobra.Command{
		newCascadeCommand(opts),
		newRolloutCommand(opts),
		newLatencyCommand(opts),
		newOverloadCommand(opts),
		newLimitsCommand(opts),
	}
}
