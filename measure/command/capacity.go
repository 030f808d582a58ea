package command

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/measure/capacity"
)

const pageFileMode = 0o644

// capacityCommand returns the command that updates the capacity page.
func capacityCommand() *cobra.Command {
	var figures, page string
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Recalculate the tables of docs/CAPACITY.md from the saved figures",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			text, err := os.ReadFile(page)
			if err != nil {
				return ErrFlag.Wrap(err, "could not read the page")
			}
			updated, err := capacity.Recompute(string(text), figures)
			if err != nil {
				return err
			}
			if err := os.WriteFile(page, []byte(updated), pageFileMode); err != nil {
				return ErrFlag.Wrap(err, "could not write the page")
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&figures, "figures", defaultFiguresDir, "directory of the saved figures")
	cmd.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "page to rewrite")
	return cmd
}
