package entryd

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/internal/command"
	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/settings"
)

var namespace = errorx.NewNamespace("entryd")

// ErrRequestsAborted reports that the daemon stopped while requests were still in
// flight.
var ErrRequestsAborted = namespace.NewType("cut")

// NewCommand returns the poplarshored command, which runs an entry VM's daemon
// with the settings file given by its flags.
func NewCommand() *cobra.Command {
	s := settings.DefaultEntry()
	return command.NewDaemonCommand(command.Program{
		Name: "poplarshored", Short: "Serve callers on this entry VM",
		Example:     "  poplarshored --settings /etc/poplarshore/entry.json",
		DefaultPath: "/etc/poplarshore/entry.json",
		Settings:    s,
		Run:         func(cmd *cobra.Command) error { return run(cmd, s) },
	})
}

// run serves until the first SIGTERM or SIGINT and then stops gracefully. A second
// signal ends the wait for requests in flight, which are then aborted: their callers
// are told whether they may have run, and they are billed.
func run(cmd *cobra.Command, s *settings.Entry) error {
	membudget.SetRuntimeLimit(s.MemoryMB)
	log := command.Logger(cmd.ErrOrStderr(), s.Log)
	d, err := New(s, log, clockwork.NewRealClock())
	if err != nil {
		return err
	}
	firstSignal, secondSignal, stopSignals := command.Signals(cmd.Context())
	defer stopSignals()
	defer command.LogHangups(log)()
	// The background workers run until the stop has ended: they commit the billing records.
	if err := d.Start(context.WithoutCancel(cmd.Context())); err != nil {
		return err
	}
	<-firstSignal.Done()
	if aborted := d.Stop(secondSignal, nil); aborted > 0 {
		return ErrRequestsAborted.New("stopped before %d requests in flight had completed", aborted)
	}
	return nil
}
