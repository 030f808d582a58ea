package command

import (
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/settings"
)

// Program describes a daemon's command line.
type Program struct {
	Name    string
	Short   string
	Example string
	// Default is the path of the settings file where none is given.
	Default string
	// Settings holds the defaults and receives what the file says.
	Settings settings.Settings
	Run      func(cmd *cobra.Command) error
}

// Daemon returns a daemon's command line.
func Daemon(p Program) *cobra.Command {
	var path string
	var check, defaults bool
	cmd := &cobra.Command{
		Use: p.Name, Short: p.Short, Example: p.Example, Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if defaults {
				return settings.Print(cmd.OutOrStdout(), p.Settings)
			}
			if err := settings.Load(path, p.Settings); err != nil || check {
				return err
			}
			return p.Run(cmd)
		},
	}
	cmd.Flags().StringVar(&path, "settings", p.Default, "settings file")
	cmd.Flags().BoolVar(&check, "check-settings", false, "check the settings file and exit")
	cmd.Flags().BoolVar(&defaults, "print-defaults", false, "print a settings file with all defaults and exit")
	return cmd
}
