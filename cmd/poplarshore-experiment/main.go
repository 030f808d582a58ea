// Command poplarshore-experiment compares the decision policies with baselines in seeded
// simulations. Each subcommand prints a table and writes its results as JSON and SVG.
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

// options are the flags that all experiments share.
type options struct {
	// figuresDir is the directory for JSON and SVG files.
	figuresDir string
	// seeds is the number of runs for each policy, with seeds from 1.
	seeds int
}

// Defaults of options.
const (
	defaultFiguresDir = "docs/figures"
	defaultSeeds      = 5
)

// newRootCommand returns the root command with all experiments.
func newRootCommand() *cobra.Command {
	opts := &options{}
	root := &cobra.Command{
		Use:          "poplarshore-experiment",
		Short:        "Compare the decision policies with baselines",
		SilenceUsage: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&opts.figuresDir, "out", defaultFiguresDir, "directory for figures")
	flags.IntVar(&opts.seeds, "seeds", defaultSeeds, "number of runs for each policy, with seeds from 1")
	root.AddCommand(experimentCommands(opts)...)
	return root
}

func experimentCommands(opts *options) []*cobra.Command {
	return []*cobra.Command{
		newCascadeCommand(opts),
		newRolloutCommand(opts),
		newDeadlineCommand(opts), newBlameCommand(opts), newFragileCommand(opts), newColdCommand(opts), newSlowStartCommand(opts), newReachCommand(opts),
		newLatencyCommand(opts),
		newOverloadCommand(opts),
		newLimitsCommand(opts),
	}
}
