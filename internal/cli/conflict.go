package cli

import (
	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/document/diff"
	"github.com/poplarshore/poplarshore/internal/operatorclient"
)

// baseRevision returns the number of the revision that a proposal is based on: the newest
// one or, if the operation was already accepted, the one before its revision.
func baseRevision(history []revision.Revision, operation string) uint64 {
	var newest uint64
	for _, r := range history {
		if r.OpID == operation {
			return r.Number - 1
		}
		newest = r.Number
	}
	return newest
}

// printConflict prints how the document in force differs from the proposed one, if err is a
// conflict, and returns err.
func printConflict(cmd *cobra.Command, client *operatorclient.Client, p operatorclient.Proposal, err error) error {
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
	printLine(cmd, "revision %d in force differs from this document:", current.Number)
	printChanges(cmd, changes)
	return err
}
