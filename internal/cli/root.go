// Package cli implements poplarshore, the operators' command line.
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
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/strictjson"
)

var namespace = errorx.NewNamespace("cli")

var (
	// ErrUsage reports an invalid flag or argument.
	ErrUsage = namespace.NewType("usage")
	// ErrNotInForce reports a revision that was accepted, but was not in force on every VM
	// before the timeout.
	ErrNotInForce = namespace.NewType("not_in_force")
)

// Exit codes of the commands. Scripts rely on their values.
const (
	ExitOK          = 0
	ExitFailure     = 1 // any other error
	ExitInvalid     = 2 // invalid document or edit
	ExitConflict    = 3 // another operator changed the document first
	ExitUnknown     = 4 // the change may or may not have been accepted
	ExitUnavailable = 5 // the platform's store is unavailable; nothing was accepted
	ExitRefused     = 6 // a VM refused the request
	ExitNotInForce  = 7 // accepted, but not yet in force on every VM
)

// ExitCode returns the exit code for the error of a command: ExitOK for nil, ExitFailure
// for an error without a specific code.
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

// callTimeout is the timeout of one call of a VM.
const callTimeout = 30 * time.Second

// environmentFlags are the flags that select an environment and how to connect to it.
type environmentFlags struct {
	urls      []string
	tokenFile string
	caFile    string
}

// addTo adds the flags to a command. Their names begin with prefix; name is the
// environment's name in their help texts.
func (e *environmentFlags) addTo(cmd *cobra.Command, prefix, name string) {
	f := cmd.Flags()
	f.StringSliceVar(&e.urls, prefix+"operators", []string{"http://127.0.0.1:8081"}, "base URL of a VM's operator port in "+name+", repeatable")
	f.StringVar(&e.tokenFile, prefix+"token-file", "/etc/poplarshore/operator-token", "file with the operator token of "+name)
	f.StringVar(&e.caFile, prefix+"ca-file", "", "PEM file with the certificate authorities of "+name+"; empty uses those of the system")
}

// client returns a client of the environment, with the token and authorities read from the
// files.
func (e *environmentFlags) client() (*operatorclient.Client, error) {
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
		HTTP: &http.Client{Timeout: callTimeout, Transport: transport.Checked(&http.Transport{
			TLSClientConfig: config, MaxResponseHeaderBytes: transport.MaxResponseHeaderBytes,
		})},
	}, nil
}

// New returns the root command with all subcommands.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:   "poplarshore",
		Short: "Operate an environment",
		Long: "Operate an environment through its configuration document.\n\nExit codes: 0 success, 1 failure, 2 invalid document or edit, 3 conflict with another\n" +
			"operator, 4 outcome unknown (repeat with the same --operation), 5 the platform's\nstore is unavailable and nothing was accepted, 6 refused, 7 accepted but not yet\nin force on every VM.",
		SilenceUsage: true,
	}
	root.AddCommand(newValidate(), newDiff(), newTry(), newPromote(), newStatus(), newHistory(),
		newWithdraw(), newRollout(), newTakeover(), newLedger(), newExplain(), newQuarantine(), newMan())
	return root
}

// newMan returns the command that writes the manual pages.
func newMan() *cobra.Command {
	return &cobra.Command{
		Use: "man DIRECTORY", Short: "Write the manual pages", Args: cobra.ExactArgs(1),
		Example: "  poplarshore man /usr/local/share/man/man1",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := os.MkdirAll(args[0], 0o755); err != nil {
				return ErrUsage.Wrap(err, "create directory")
			}
			return doc.GenManTree(cmd.Root(), &doc.GenManHeader{Title: "POPLARSHORE", Section: "1"}, args[0])
		},
	}
}

// operationIDBytes is the length of a random operation ID, before hexadecimal encoding.
const operationIDBytes = 8

// newOperationID returns a random operation ID.
func newOperationID() string {
	var b [operationIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
