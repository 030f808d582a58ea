package entryd

import (
	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/internal/command"
	"github.com/poplarshore/poplarshore/settings"
)

var namespace = errorx.NewNamespace("entryd")

// ErrCut reports a stop that cut off requests.
var ErrCut = namespace.NewType("cut")

// NewCommand returns the command line of poplarshored.
func NewCommand() *cobra.Command {
	var path string
	var check, defaults bool
	cmd := &cobra.Command{
		Use:           "poplarshored",
		Short:         "Serve callers on this entry VM",
		Example:       "  poplarshored --settings /etc/poplarshore/entry.json",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: false,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := settings.DefaultEntry()
			if defaults {
				return settings.Print(cmd.OutOrStdout(), s)
			}
			if err := settings.Load(path, s); err != nil || check {
				return err
			}
			return run(cmd, s)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "/etc/poplarshore/entry.json", "settings file")
	cmd.Flags().BoolVar(&check, "check-settings", false, "check the settings file and exit")
	cmd.Flags().BoolVar(&defaults, "print-defaults", false, "print a settings file with all defaults and exit")
	return cmd
}

// run serves until a signal; a second signal ends the wait for requests.
func run(cmd *cobra.Command, s *settings.Entry) error {
	log := command.Logger(cmd.ErrOrStderr(), s.Log)
	d, err := New(s, log, clockwork.NewRealClock())
	if err != nil {
		return err
	}
	first, second, release := command.Signals(cmd.Context())
	defer release()
	if err := d.Start(second); err != nil {
		return err
	}
	<-first.Done()
	if cut := d.Stop(second); cut > 0 {
		return ErrCut.New("stopped with %d requests in flight", cut)
	}
	return nil
}
