package cli

import (
	"context"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/internal/operator"
	"github.com/poplarshore/poplarshore/internal/operatorclient"
)

// changeFlags are the flags of commands that change an environment.
type changeFlags struct {
	operation   string // operation ID
	author      string
	wait        bool // until the revision is in force
	waitTimeout time.Duration
}

// defaultWaitTimeout is the default time to wait for a revision to be in force.
const defaultWaitTimeout = 30 * time.Second

// inForcePollInterval is the interval between queries of which VMs have confirmed a revision.
const inForcePollInterval = 200 * time.Millisecond

// addTo adds the flags to a command.
func (c *changeFlags) addTo(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&c.operation, "operation", "", "operation ID, random if empty; to repeat an earlier command safely, give its ID")
	f.StringVar(&c.author, "author", "", "name of the operator; default: the current user")
	f.BoolVar(&c.wait, "wait", false, "wait until the revision is in force on every VM")
	f.DurationVar(&c.waitTimeout, "within", defaultWaitTimeout, "maximum time to wait with --wait")
}

// prepare sets defaults for the flags that were not given. It prints the operation ID to
// standard error, so that the operator can repeat the command after a lost response.
func (c *changeFlags) prepare(cmd *cobra.Command) {
	if c.operation == "" {
		c.operation = newOperationID()
	}
	if u, err := user.Current(); err == nil && c.author == "" {
		c.author = u.Username
	}
	_, _ = cmd.ErrOrStderr().Write([]byte("operation " + c.operation + "\n"))
}

// printAcceptance prints the accepted revision and, with --wait, waits until it is in force.
func (c *changeFlags) printAcceptance(cmd *cobra.Command, client *operatorclient.Client, a operator.Acceptance) error {
	verb := "accepted"
	if a.Repeated {
		verb = "accepted before"
	}
	printLine(cmd, "revision %d %s (%s)", a.Revision.Number, verb, a.Revision.Hash)
	if !c.wait {
		return nil
	}
	return c.awaitInForce(cmd, client, a.Revision.Number)
}

// awaitInForce waits until every VM has confirmed the revision or can no longer use an
// earlier one. Errors of single queries are ignored. Errors: ErrNotInForce.
func (c *changeFlags) awaitInForce(cmd *cobra.Command, client *operatorclient.Client, number uint64) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), c.waitTimeout)
	defer cancel()
	for {
		inForce, err := client.InForce(ctx, number)
		if err == nil && inForce.Everywhere() {
			printLine(cmd, "revision %d in force: %d VMs confirmed, %d expired", number, len(inForce.Confirmed), len(inForce.Expired))
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrNotInForce.New("revision %d was accepted, but not confirmed in time by VMs %v", number, inForce.Unknown)
		case <-time.After(inForcePollInterval):
		}
	}
}
