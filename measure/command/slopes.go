package command

import (
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/measure/figure"
	"github.com/poplarshore/poplarshore/measure/slopes"
)

// defaultRepeats is the default number of measurements at each size.
const defaultRepeats = 5

// slopesCommand returns the command that measures the control mechanisms.
func slopesCommand() *cobra.Command {
	var (
		outputDir string
		only      []string
		repeats   int
	)
	cmd := &cobra.Command{
		Use:   "slopes",
		Short: "Measure the cost of each control mechanism at several sizes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := loadOrCreateSet(outputDir, len(only) > 0)
			if err != nil {
				return err
			}
			probes, err := selectProbes(only)
			if err != nil {
				return err
			}
			set.Drop(probeNames(probes))
			if err := slopes.Run(cmd.Context(), probes, repeats, set); err != nil {
				return err
			}
			printSet(cmd.OutOrStdout(), set)
			return set.Save(outputDir)
		},
	}
	cmd.Flags().StringVar(&outputDir, "out", defaultFiguresDir, "directory of the saved figures")
	cmd.Flags().StringSliceVar(&only, "only", nil, "measure only these mechanisms and keep the saved figures of the others")
	cmd.Flags().IntVar(&repeats, "repeats", defaultRepeats, "number of measurements at each size")
	return cmd
}

// loadOrCreateSet returns the saved figures if keepSaved is set, and an empty set
// otherwise.
func loadOrCreateSet(dir string, keepSaved bool) (*figure.Set, error) {
	if keepSaved {
		return figure.Load(dir, slopes.SetName)
	}
	return &figure.Set{
		Name: slopes.SetName, Command: "go run ./cmd/poplarshore-measure slopes", Machine: figure.ThisMachine(),
	}, nil
}

// selectProbes returns the probes of the named mechanisms, or all probes if only
// is empty. Errors: ErrFlag for an unknown mechanism.
func selectProbes(only []string) ([]slopes.Probe, error) {
	all := slopes.Probes()
	if len(only) == 0 {
		return all, nil
	}
	for _, name := range only {
		if !slices.Contains(probeNames(all), name) {
			return nil, ErrFlag.New("unknown mechanism %q, must be one of %v", name, probeNames(all))
		}
	}
	return slices.DeleteFunc(all, func(p slopes.Probe) bool { return !slices.Contains(only, p.Name) }), nil
}

func probeNames(probes []slopes.Probe) []string {
	var list []string
	for _, p := range probes {
		list = append(list, p.Name)
	}
	return list
}

// printSet prints the fitted line of each series, with its range of sizes and its
// spread.
func printSet(w io.Writer, set *figure.Set) {
	for i := range set.Series {
		s := &set.Series[i]
		line := s.Fit()
		_, _ = fmt.Fprintf(w, "%-28s %12.2f + %.4g per %s [%s], %g to %g, spread %.0f%%\n",
			s.Name, line.Intercept, line.Slope, s.SizeName, s.Unit, line.MinSize, line.MaxSize, 100*line.Spread)
	}
}
