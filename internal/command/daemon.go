package command

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/settings"
)

// Program describes the command line of a daemon.
type Program struct {
	// Name is the name of the command, Short its one-line description and Example a
	// sample call for the help.
	Name    string
	Short   string
	Example string
	// DefaultPath is the default path of the settings file.
	DefaultPath string
	// Settings contains the default settings. The settings file is loaded into it.
	Settings settings.Settings
	// Run runs the daemon after the settings have been loaded.
	Run func(cmd *cobra.Command) error
}

// NewDaemonCommand returns the command of a daemon. It loads and checks the settings file and
// calls p.Run. Its flags are --settings for the path of the file, --check-settings to
// stop after the check, and --print-defaults to print the default settings instead.
func NewDaemonCommand(p Program) *cobra.Command {
	var settingsPath string
	var checkOnly, printDefaults bool
	cmd := &cobra.Command{
		Use: p.Name, Short: p.Short, Example: p.Example, Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// By default the signal would end a process that still starts.
			signal.Ignore(syscall.SIGHUP)
			if printDefaults {
				return settings.Print(cmd.OutOrStdout(), p.Settings)
			}
			if err := settings.Load(settingsPath, p.Settings); err != nil || checkOnly {
				return err
			}
			return p.Run(cmd)
		},
	}
	cmd.Flags().StringVar(&settingsPath, "settings", p.DefaultPath, "settings file")
	cmd.Flags().BoolVar(&checkOnly, "check-settings", false, "check the settings file and exit")
	cmd.Flags().BoolVar(&printDefaults, "print-defaults", false, "print a settings file with all defaults and exit")
	return cmd
}
