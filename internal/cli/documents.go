package cli

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/document/diff"
	"github.com/poplarshore/poplarshore/internal/operatorclient"
)

// readFile reads a document; "-" stands for standard input.
func readFile(cmd *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrUsage.Wrap(err, "document")
	}
	return text, nil
}

func newValidate() *cobra.Command {
	var out output
	cmd := &cobra.Command{
		Use: "validate FILE", Short: "Check a document", Args: cobra.ExactArgs(1),
		Example: "  poplarshore validate environment.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			_, faults := document.Check(text)
			err = out.print(cmd, faults, func() {
				if len(faults) == 0 {
					say(cmd, "valid (%s)", document.Hash(text))
				}
			})
			if err != nil {
				return err
			}
			return faults.Err()
		},
	}
	out.flags(cmd)
	return cmd
}

func newDiff() *cobra.Command {
	var out output
	var env environment
	cmd := &cobra.Command{
		Use: "diff FILE", Short: "Compare the document in force with a file", Args: cobra.ExactArgs(1),
		Example: "  poplarshore diff environment.json --operators https://vm-1:8081",
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readFile(cmd, args[0])
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
			return out.print(cmd, changes, func() { sayChanges(cmd, changes) })
		},
	}
	env.flags(cmd, "", "the environment")
	out.flags(cmd)
	return cmd
}

func sayChanges(cmd *cobra.Command, changes []diff.Change) {
	if len(changes) == 0 {
		say(cmd, "no differences")
	}
	for _, c := range changes {
		say(cmd, "%s", c)
	}
}

func newTry() *cobra.Command {
	var env environment
	var c change
	var base uint64
	var reinstate []string
	cmd := &cobra.Command{
		Use: "try FILE", Short: "Give a document to the trial environment", Args: cobra.ExactArgs(1),
		Example: "  poplarshore try environment.json --operators https://trial-1:8081 --wait",
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readFile(cmd, args[0])
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
	env.flags(cmd, "", "the trial environment")
	c.flags(cmd)
	proposalFlags(cmd, &base, &reinstate)
	return cmd
}

func proposalFlags(cmd *cobra.Command, base *uint64, reinstate *[]string) {
	cmd.Flags().Uint64Var(base, "base", 0, "revision that the document follows; 0 takes the one in force")
	cmd.Flags().StringSliceVar(reinstate, "reinstate", nil, "withdrawn model@version that may come back, repeatable")
}

// propose proposes a document on the base given, or on the revision in force.
func propose(cmd *cobra.Command, client *operatorclient.Client, c *change, p operatorclient.Proposal) error {
	c.prepare(cmd)
	if p.Base == 0 {
		history, err := client.History(cmd.Context())
		if err != nil {
			return err
		}
		p.Base = baseFor(history, c.operation)
	}
	p.Operation, p.Author = c.operation, c.author
	accepted, err := client.Propose(cmd.Context(), p)
	if err != nil {
		return describe(cmd, client, p, err)
	}
	return c.report(cmd, client, accepted)
}

func newPromote() *cobra.Command {
	var trial, production environment
	var c change
	var base uint64
	var reinstate []string
	cmd := &cobra.Command{
		Use: "promote", Short: "Give the trial environment's document, unchanged, to production", Args: cobra.NoArgs,
		Example: "  poplarshore promote --trial-operators https://trial-1:8081 --operators https://vm-1:8081 --wait",
		RunE: func(cmd *cobra.Command, _ []string) error {
			from, err := trial.client()
			if err != nil {
				return err
			}
			to, err := production.client()
			if err != nil {
				return err
			}
			tried, err := from.Document(cmd.Context())
			if err != nil {
				return err
			}
			p := operatorclient.Proposal{Body: tried.Body, Proof: tried.Proof, Base: base, Reinstate: reinstate}
			return propose(cmd, to, &c, p)
		},
	}
	trial.flags(cmd, "trial-", "the trial environment")
	production.flags(cmd, "", "production")
	c.flags(cmd)
	proposalFlags(cmd, &base, &reinstate)
	return cmd
}
