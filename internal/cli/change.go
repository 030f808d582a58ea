package cli

import (
	"context"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/internal/operator"
	"github.com/poplarshore/poplarshore/internal/operatorclient"
)

// change holds the flags of commands that change an environment.
type change struct {
	operation string
	author    string
	wait      bool
	within    time.Duration
}

// defaultWithin is the time for a revision to come into force.
const defaultWithin = 30 * time.Second

// waitPoll is the time between two looks at which VMs confirmed.
const waitPoll = 200 * time.Millisecond

func (c *change) flags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&c.operation, "operation", "", "id of this operation; give that of an earlier try to repeat it safely")
	f.StringVar(&c.author, "author", "", "name of the operator; default the user's")
	f.BoolVar(&c.wait, "wait", false, "wait until the revision is in force on every VM")
	f.DurationVar(&c.within, "within", defaultWithin, "longest time to wait")
}

// prepare fills in what was not given, and tells the operation id, so that the
// operator can repeat the command after a lost reply.
func (c *change) prepare(cmd *cobra.Command) {
	if c.operation == "" {
		c.operation = newOperation()
	}
	if u, err := user.Current(); err == nil && c.author == "" {
		c.author = u.Username
	}
	_, _ = cmd.ErrOrStderr().Write([]byte("operation " + c.operation + "\n"))
}

// report tells what was accepted, and waits until it is in force where asked.
func (c *change) report(cmd *cobra.Command, client *operatorclient.Client, a operator.Acceptance) error {
	verb := "accepted"
	if a.Repeated {
		verb = "accepted before"
	}
	say(cmd, "revision %d %s (%s)", a.Revision.Number, verb, a.Revision.Hash)
	if !c.wait {
		return nil
	}
	return c.await(cmd, client, a.Revision.Number)
}

// await waits until every VM confirmed the revision or can no longer work by
// an earlier one.
func (c *change) await(cmd *cobra.Command, client *operatorclient.Client, number uint64) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), c.within)
	defer cancel()
	for {
		in, err := client.InForce(ctx, number)
		if err == nil && in.Everywhere() {
			say(cmd, "revision %d in force: %d VMs confirmed, %d expired", number, len(in.Confirmed), len(in.Expired))
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrNotInForce.New("revision %d was accepted; not confirmed by %v", number, in.Unknown)
		case <-time.After(waitPoll):
		}
	}
}
