package controld

import (
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/internal/command"
	"github.com/poplarshore/poplarshore/settings"
)

// NewCommand returns the command line of poplarshore-control.
func NewCommand() *cobra.Command {
	s := settings.DefaultControl()
	return command.Daemon(command.Program{
		Name: "poplarshore-control", Short: "Hold the jobs that one process at a time does",
		Example:  "  poplarshore-control --settings /etc/poplarshore/control.json",
		Default:  "/etc/poplarshore/control.json",
		Settings: s,
		Run:      func(cmd *cobra.Command) error { return run(cmd, s) },
	})
}

func run(cmd *cobra.Command, s *settings.Control) error {
	d, err := New(s, command.Logger(cmd.ErrOrStderr(), s.Log), clockwork.NewRealClock())
	if err != nil {
		return err
	}
	first, second, release := command.Signals(cmd.Context())
	defer release()
	if err := d.Start(second); err != nil {
		return err
	}
	<-first.Done()
	d.Stop()
	return nil
}
