package gatewayd

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/internal/command"
	"github.com/poplarshore/poplarshore/settings"
)

// NewCommand returns the command that runs the gateway with the settings file
// given by its flags, and with the options.
func NewCommand(opts ...Option) *cobra.Command {
	s := settings.DefaultGateway()
	return command.NewDaemonCommand(command.Program{
		Name: "gateway", Short: "Run the gateway of the users' platform on this entry VM",
		Example:     "  poplarshored gateway --settings /etc/poplarshore/gateway.json",
		DefaultPath: "/etc/poplarshore/gateway.json",
		Settings:    s,
		Run:         func(cmd *cobra.Command) error { return run(cmd, s, opts) },
	})
}

// run serves until the first SIGTERM or SIGINT and then stops gracefully. A SIGINT after that
// ends the requests that are still running.
func run(cmd *cobra.Command, s *settings.Gateway, opts []Option) error {
	// A service manager may send SIGTERM twice, to the process and to its group.
	firstSignal, secondSignal, stopSignals := command.Signals(cmd.Context(), os.Interrupt)
	defer stopSignals()
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	d := New(s, cmd.OutOrStdout(), clockwork.NewRealClock(), opts...)
	if err := d.StartWhenFree(firstSignal); err != nil {
		return err
	}
	for {
		select {
		case <-reloadSignals:
			d.LogSettingsChanged()
		case <-firstSignal.Done():
			d.Stop(secondSignal)
			return nil
		}
	}
}

// LogSettingsChanged logs that a change of the settings file takes effect only
// after a restart: the addresses, location and limits of the VM are fixed for
// the lifetime of the process.
func (d *Daemon) LogSettingsChanged() {
	d.log.Info("received SIGHUP; changes of the settings file take effect after a restart")
}
