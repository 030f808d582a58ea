package gatewayd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/internal/command"
	"github.com/poplarshore/poplarshore/settings"
)

// NewCommand returns the command line of the gateway.
func NewCommand() *cobra.Command {
	s := settings.DefaultGateway()
	return command.Daemon(command.Program{
		Name: "gateway", Short: "Serve callers of the users' platform on this entry VM",
		Example:  "  poplarshored gateway --settings /etc/poplarshore/gateway.json",
		Default:  "/etc/poplarshore/gateway.json",
		Settings: s,
		Run:      func(cmd *cobra.Command) error { return run(cmd, s) },
	})
}

// run serves until a signal; a second one ends the wait for requests.
func run(cmd *cobra.Command, s *settings.Gateway) error {
	d := New(s, cmd.OutOrStdout(), clockwork.NewRealClock())
	first, second, release := command.Signals(cmd.Context())
	defer release()
	if err := d.Start(context.WithoutCancel(cmd.Context())); err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for {
		select {
		case <-reload:
			d.Reload()
		case <-first.Done():
			d.Stop(second)
			return nil
		}
	}
}

// Reload notes that the settings file changed. What it holds is fixed for the
// life of a process: addresses, places and limits of the VM.
func (d *Daemon) Reload() {
	d.log.Info("settings file changed, in force from the next start")
}
