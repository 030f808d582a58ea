// Package quickstart is the subcommand "quickstart", which runs a complete environment on loopback with
// the example document examples.Quickstart.
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

// demoKey is the key of the client account in the example document.
const demoKey = "demo-key"

// NewCommand returns the subcommand. It serves until its context ends and prints example requests when
// it is ready.
func NewCommand() *cobra.Command {
	var callersAddress, operatorsAddress string
	cmd := &cobra.Command{
		Use:   "quickstart",
		Short: "Run a complete environment on loopback",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log := slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil))
			env, err := environment.Start(cmd.Context(), environment.Options{
				Document:        examples.Quickstart,
				ConfigureEngine: configureEngine,
				VMs:             []environment.VM{{ID: "vm-1", Domain: "local-1", CallersAddress: callersAddress, OperatorsAddress: operatorsAddress}},
				Log:             log,
			})
			if err != nil {
				return err
			}
			defer env.Close()
			if err := env.StartControl(environment.VM{ID: "vm-1", Domain: "local-1"}, nil); err != nil {
				return err
			}
			printExampleRequests(cmd, env)
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&callersAddress, "listen", "127.0.0.1:8080", "host:port for callers")
	cmd.Flags().StringVar(&operatorsAddress, "operators", "127.0.0.1:8081", "host:port for operators")
	return cmd
}

// configureEngine makes the engines slow enough for a person to follow the stream, and makes 30% of the
// cheap model's answers bad, so that the cascade also uses the strong model.
func configureEngine(u upstream.Upstream, o *engine.Options) {
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

// printExampleRequests prints the addresses of the entry VM and curl commands for a streamed completion
// and a call of a plain service.
func printExampleRequests(cmd *cobra.Command, env *environment.Environment) {
	daemon := env.VM("vm-1")
	out := cmd.OutOrStdout()
	_, _ = fmt.Fprintf(out, "callers on %s, operators on %s\ntry:\n", daemon.CallersAddress(), daemon.OperatorsAddress())
	_, _ = fmt.Fprintf(out, "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"draft\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"a traffic plan\"}]}'\n", daemon.CallersAddress(), demoKey)
	_, _ = fmt.Fprintf(out, "  curl -i http://%s/services/permits/issue -H 'Authorization: Bearer %s' -H 'Idempotency-Key: first' -d '{\"street\":\"Alem 100\"}'\n",
		daemon.CallersAddress(), demoKey)
}
