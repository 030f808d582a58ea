// Package cli is the operators' command line.
package cli

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"

	"github.com/poplarshore/poplarshore/internal/listen"
	"github.com/poplarshore/poplarshore/internal/operatorclient"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/strictjson"
)

var namespace = errorx.NewNamespace("cli")

var (
	// ErrUsage reports flags or arguments that make no sense.
	ErrUsage = namespace.NewType("usage")
	// ErrNotInForce reports a revision that was accepted but not confirmed by
	// every VM in time.
	ErrNotInForce = namespace.NewType("not_in_force")
)

// The exit codes.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitUnknown     = 4
	ExitUnavailable = 5
	ExitRefused     = 6
	ExitNotInForce  = 7
)

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	codes := []struct {
		kind *errorx.Type
		code int
	}{
		{strictjson.ErrInvalid, ExitInvalid},
		{operatorclient.ErrInvalid, ExitInvalid},
		{operatorclient.ErrConflict, ExitConflict},
		{operatorclient.ErrUnknown, ExitUnknown},
		{operatorclient.ErrUnreachable, ExitUnknown},
		{operatorclient.ErrUnavailable, ExitUnavailable},
		{operatorclient.ErrRefused, ExitRefused},
		{ErrNotInForce, ExitNotInForce},
	}
	if err == nil {
		return ExitOK
	}
	for _, c := range codes {
		var e *errorx.Error
		if errors.As(err, &e) && errorx.IsOfType(err, c.kind) {
			return c.code
		}
	}
	return ExitFailure
}

// callTimeout bounds one call of a VM.
const callTimeout = 30 * time.Second

// environment holds the flags that reach one environment.
type environment struct {
	urls      []string
	tokenFile string
	caFile    string
}

func (e *environment) flags(cmd *cobra.Command, prefix, what string) {
	f := cmd.Flags()
	f.StringSliceVar(&e.urls, prefix+"operators", []string{"http://127.0.0.1:8081"}, "base URL of a VM's operator port in "+what+", repeatable")
	f.StringVar(&e.tokenFile, prefix+"token-file", "/etc/poplarshore/operator-token", "file with the operators' token of "+what)
	f.StringVar(&e.caFile, prefix+"ca-file", "", "PEM file with the authorities of "+what+"; empty means the system's")
}

// client returns a client of the environment.
func (e *environment) client() (*operatorclient.Client, error) {
	token, err := settings.Secret(e.tokenFile)
	if err != nil {
		return nil, err
	}
	config, err := listen.ClientTLS(e.caFile, settings.TLS{})
	if err != nil {
		return nil, err
	}
	return &operatorclient.Client{
		URLs: e.urls, Token: string(token),
		HTTP: &http.Client{Timeout: callTimeout, Transport: &http.Transport{TLSClientConfig: config}},
	}, nil
}

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:   "poplarshore",
		Short: "Operate an environment",
		Long: "Operate an environment by its document.\n\nExit codes: 0 done, 1 failure, 2 invalid document or edit, 3 conflict with another\n" +
			"operator, 4 outcome unknown (repeat with the same --operation), 5 the platform's\nstore is unavailable and nothing was accepted, 6 refused, 7 accepted but not yet\nin force on every VM.",
		SilenceUsage: true,
	}
	root.AddCommand(newValidate(), newDiff(), newTry(), newPromote(), newStatus(), newHistory(),
		newWithdraw(), newRollout(), newTakeover(), newLedger(), newExplain(), newMan())
	return root
}

// newMan writes the manual pages.
func newMan() *cobra.Command {
	return &cobra.Command{
		Use: "man DIRECTORY", Short: "Write the manual pages", Args: cobra.ExactArgs(1),
		Example: "  poplarshore man /usr/local/share/man/man1",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := os.MkdirAll(args[0], 0o755); err != nil {
				return ErrUsage.Wrap(err, "directory")
			}
			return doc.GenManTree(cmd.Root(), &doc.GenManHeader{Title: "POPLARSHORE", Section: "1"}, args[0])
		},
	}
}

// operationBytes is the length of a random operation id.
const operationBytes = 8

func newOperation() string {
	var b [operationBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
