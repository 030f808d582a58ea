package controld

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/internal/command"
	"github.com/poplarshore/poplarshore/settings"
)

// NewCommand returns the poplarshore-control command, which runs a control daemon with
// the settings file given by its flags.
func NewCommand() *cobra.Command {
	s := settings.DefaultControl()
	return command.NewDaemonCommand(command.Program{
		Name: "poplarshore-control", Short: "Run the jobs that only one process may run at a time",
		Example:     "  poplarshore-control --settings /etc/poplarshore/control.json",
		DefaultPath: "/etc/poplarshore/control.json",
		Settings:    s,
		Run:         func(cmd *cobra.Command) error { return run(cmd, s) },
	})
}

// run contends for jobs until the first SIGTERM or SIGINT and then stops gracefully.
func run(cmd *cobra.Command, s *settings.Control) error {
	log := command.Logger(cmd.ErrOrStderr(), s.Log)
	d, err := New(s, log, clockwork.NewRealClock())
	if err != nil {
		return err
	}
	firstSignal, _, stopSignals := command.Signals(cmd.Context())
	defer stopSignals()
	defer command.LogHangups(log)()
	if err := d.Start(context.WithoutCancel(cmd.Context())); err != nil {
		return err
	}
	<-firstSignal.Done()
	d.Stop()
	return nil
}
