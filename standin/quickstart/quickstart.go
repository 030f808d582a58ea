// Package quickstart runs the quick start: a whole environment on loopback with
// the example document.
package quickstart

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/environment"
	"github.com/poplarshore/poplarshore/upstream"
)

// demoKey is the key of the example document's client account.
const demoKey = "demo-key"

// NewCommand returns the subcommand.
func NewCommand() *cobra.Command {
	var callers, operators string
	cmd := &cobra.Command{
		Use:   "quickstart",
		Short: "Serve a whole environment on loopback",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log := slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil))
			e, err := environment.Start(cmd.Context(), environment.Options{
				Document: examples.Quickstart,
				Engine:   pace,
				VMs:      []environment.VM{{ID: "vm-1", Domain: "local-1", Callers: callers, Operators: operators}},
				Log:      log,
			})
			if err != nil {
				return err
			}
			defer e.Close()
			if err := e.StartControl(environment.VM{ID: "vm-1", Domain: "local-1"}, nil); err != nil {
				return err
			}
			greet(cmd, e)
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&callers, "listen", "127.0.0.1:8080", "host:port for callers")
	cmd.Flags().StringVar(&operators, "operators", "127.0.0.1:8081", "host:port for operators")
	return cmd
}

// pace gives the engines a speed that a person can follow, and the cheap model
// answers that do not always suffice.
func pace(u upstream.Upstream, o *engine.Options) {
	o.TokenTime = 20 * time.Millisecond
	o.PrefillTime = 100 * time.Microsecond
	o.LoadTime = 2 * time.Second
	o.ReportLag = 500 * time.Millisecond
	o.Quality = make(map[string]float64)
	for _, ref := range u.Versions {
		if ref.Model == "cheap" {
			o.Quality[ref.String()] = 0.7
		}
	}
}

func greet(cmd *cobra.Command, e *environment.Environment) {
	d := e.VM("vm-1")
	out := cmd.OutOrStdout()
	_, _ = fmt.Fprintf(out, "callers on %s, operators on %s\ntry:\n", d.CallersAddress(), d.OperatorsAddress())
	_, _ = fmt.Fprintf(out, "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"draft\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"a traffic plan\"}]}'\n", d.CallersAddress(), demoKey)
	_, _ = fmt.Fprintf(out, "  curl -i http://%s/services/permits/issue -H 'Authorization: Bearer %s' -H 'Idempotency-Key: first' -d '{\"street\":\"Alem 100\"}'\n",
		d.CallersAddress(), demoKey)
}
