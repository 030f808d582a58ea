package command

import (
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/measure/figure"
	"github.com/poplarshore/poplarshore/measure/slopes"
)

const defaultRepeats = 5

func slopesCommand() *cobra.Command {
	var (
		out     string
		only    []string
		repeats int
	)
	cmd := &cobra.Command{
		Use:   "slopes",
		Short: "Measure the cost of each control mechanism at several sizes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := previous(out, len(only) > 0)
			if err != nil {
				return err
			}
			probes, err := selected(only)
			if err != nil {
				return err
			}
			set.Drop(names(probes))
			if err := slopes.Run(cmd.Context(), probes, repeats, set); err != nil {
				return err
			}
			printSet(cmd.OutOrStdout(), set)
			return set.Save(out)
		},
	}
	cmd.Flags().StringVar(&out, "out", defaultFigures, "directory of the saved figures")
	cmd.Flags().StringSliceVar(&only, "only", nil, "measure these mechanisms alone, and keep the others' figures")
	cmd.Flags().IntVar(&repeats, "repeats", defaultRepeats, "measurements at each size")
	return cmd
}

// previous returns the saved figures to add to, or an empty set.
func previous(dir string, keep bool) (*figure.Set, error) {
	if keep {
		return figure.Load(dir, slopes.SetName)
	}
	return &figure.Set{
		Name: slopes.SetName, Command: "go run ./cmd/poplarshore-measure slopes", Machine: figure.ThisMachine(),
	}, nil
}

func selected(only []string) ([]slopes.Probe, error) {
	all := slopes.Probes()
	if len(only) == 0 {
		return all, nil
	}
	for _, name := range only {
		if !slices.Contains(names(all), name) {
			return nil, ErrFlag.New("no mechanism %q; there are %v", name, names(all))
		}
	}
	return slices.DeleteFunc(all, func(p slopes.Probe) bool { return !slices.Contains(only, p.Name) }), nil
}

func names(probes []slopes.Probe) []string {
	var list []string
	for _, p := range probes {
		list = append(list, p.Name)
	}
	return list
}

func printSet(w io.Writer, set *figure.Set) {
	for i := range set.Series {
		s := &set.Series[i]
		line := s.Fit()
		_, _ = fmt.Fprintf(w, "%-28s %12.2f + %.4g per %s [%s], %g to %g, spread %.0f%%\n",
			s.Name, line.Intercept, line.Slope, s.Of, s.Unit, line.Low, line.High, 100*line.Spread)
	}
}
