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
	s := settings.DefaultEntry()
	return command.Daemon(command.Program{
		Name: "poplarshored", Short: "Serve callers on this entry VM",
		Example:  "  poplarshored --settings /etc/poplarshore/entry.json",
		Default:  "/etc/poplarshore/entry.json",
		Settings: s,
		Run:      func(cmd *cobra.Command) error { return run(cmd, s) },
	})
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
	if cut := d.Stop(second, nil); cut > 0 {
		return ErrCut.New("stopped with %d requests in flight", cut)
	}
	return nil
}
