package cli

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/document/diff"
	"github.com/poplarshore/poplarshore/internal/operatorclient"
)

// readDocument reads a document from a file, or from standard input if the path is "-".
// Errors: ErrUsage.
func readDocument(cmd *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrUsage.Wrap(err, "read document")
	}
	return text, nil
}

// newValidate returns the command that checks a document locally.
func newValidate() *cobra.Command {
	var out outputFlags
	cmd := &cobra.Command{
		Use: "validate FILE", Short: "Check a document for faults", Args: cobra.ExactArgs(1),
		Example: "  poplarshore validate environment.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			_, faults := document.Check(text)
			err = out.print(cmd, faults, func() {
				if len(faults) == 0 {
					printLine(cmd, "valid (%s)", document.Hash(text))
				}
			})
			if err != nil {
				return err
			}
			return faults.Err()
		},
	}
	out.addTo(cmd)
	return cmd
}

// newDiff returns the command that compares a file with the document in force.
func newDiff() *cobra.Command {
	var out outputFlags
	var env environmentFlags
	cmd := &cobra.Command{
		Use: "diff FILE", Short: "Show the changes from the document in force to a file", Args: cobra.ExactArgs(1),
		Example: "  poplarshore diff environment.json --operators https://vm-1:8081",
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			client, err := env.client()
			if err != nil {
				return err
			}
			current, err := client.Document(cmd.Context())
			if err != nil {
				return err
			}
			changes, err := diff.Documents(current.Body, text)
			if err != nil {
				return err
			}
			return out.print(cmd, changes, func() { printChanges(cmd, changes) })
		},
	}
	env.addTo(cmd, "", "the environment")
	out.addTo(cmd)
	return cmd
}

// printChanges prints one line for each change.
func printChanges(cmd *cobra.Command, changes []diff.Change) {
	if len(changes) == 0 {
		printLine(cmd, "no differences")
	}
	for _, c := range changes {
		printLine(cmd, "%s", c)
	}
}

// newTry returns the command that proposes a document to the trial environment.
func newTry() *cobra.Command {
	var env environmentFlags
	var c changeFlags
	var base uint64
	var reinstate []string
	cmd := &cobra.Command{
		Use: "try FILE", Short: "Propose a document to the trial environment", Args: cobra.ExactArgs(1),
		Example: "  poplarshore try environment.json --operators https://trial-1:8081 --wait",
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			if _, err := document.Parse(text); err != nil {
				return err
			}
			client, err := env.client()
			if err != nil {
				return err
			}
			p := operatorclient.Proposal{Body: text, Base: base, Reinstate: reinstate}
			return propose(cmd, client, &c, p)
		},
	}
	env.addTo(cmd, "", "the trial environment")
	c.addTo(cmd)
	addProposalFlags(cmd, &base, &reinstate)
	return cmd
}

// addProposalFlags adds the flags of commands that propose a document.
func addProposalFlags(cmd *cobra.Command, base *uint64, reinstate *[]string) {
	cmd.Flags().Uint64Var(base, "base", 0, "revision that the document is based on; 0 means the newest")
	cmd.Flags().StringSliceVar(reinstate, "reinstate", nil, "withdrawn model@version that the document may reinstate, repeatable")
}

// propose proposes a document based on the given revision, or on the newest if there is
// none, and prints the result.
func propose(cmd *cobra.Command, client *operatorclient.Client, c *changeFlags, p operatorclient.Proposal) error {
	c.prepare(cmd)
	if p.Base == 0 {
		history, err := client.History(cmd.Context())
		if err != nil {
			return err
		}
		p.Base = baseRevision(history, c.operation)
	}
	p.Operation, p.Author = c.operation, c.author
	accepted, err := client.Propose(cmd.Context(), p)
	if err != nil {
		return printConflict(cmd, client, p, err)
	}
	return c.printAcceptance(cmd, client, accepted)
}

// newPromote returns the command that proposes the trial environment's document to
// production, with its signature.
func newPromote() *cobra.Command {
	var trial, production environmentFlags
	var c changeFlags
	var base uint64
	var reinstate []string
	cmd := &cobra.Command{
		Use: "promote", Short: "Propose the trial environment's document, unchanged, to production", Args: cobra.NoArgs,
		Example: "  poplarshore promote --trial-operators https://trial-1:8081 --operators https://vm-1:8081 --wait",
		RunE: func(cmd *cobra.Command, _ []string) error {
			trialClient, err := trial.client()
			if err != nil {
				return err
			}
			productionClient, err := production.client()
			if err != nil {
				return err
			}
			accepted, err := trialClient.Document(cmd.Context())
			if err != nil {
				return err
			}
			p := operatorclient.Proposal{Body: accepted.Body, Proof: accepted.Proof, Base: base, Reinstate: reinstate}
			return propose(cmd, productionClient, &c, p)
		},
	}
	trial.addTo(cmd, "trial-", "the trial environment")
	production.addTo(cmd, "", "production")
	c.addTo(cmd)
	addProposalFlags(cmd, &base, &reinstate)
	return cmd
}
