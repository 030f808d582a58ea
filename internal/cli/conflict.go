package cli

import (
	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/document/diff"
	"github.com/poplarshore/poplarshore/internal/operatorclient"
)

// baseFor returns the revision that a proposal follows: the newest one, or the
// one before the operation where it was accepted already.
func baseFor(history []revision.Revision, operation string) uint64 {
	var newest uint64
	for _, r := range history {
		if r.OpID == operation {
			return r.Number - 1
		}
		newest = r.Number
	}
	return newest
}

// describe adds to a conflict what the other operator changed in the meantime.
func describe(cmd *cobra.Command, client *operatorclient.Client, p operatorclient.Proposal, err error) error {
	if !errorx.IsOfType(err, operatorclient.ErrConflict) {
		return err
	}
	current, readErr := client.Document(cmd.Context())
	if readErr != nil {
		return err
	}
	changes, diffErr := diff.Documents(p.Body, current.Body)
	if diffErr != nil {
		return err
	}
	say(cmd, "revision %d in force differs from this document:", current.Number)
	sayChanges(cmd, changes)
	return err
}
