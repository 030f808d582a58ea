package cli

import (
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/document/edit"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
)

// editCommand finishes a command that makes one edit.
func editCommand(cmd *cobra.Command, build func(args []string) (edit.Edit, error)) *cobra.Command {
	env, c := &environment{}, &change{}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		e, err := build(args)
		if err != nil {
			return err
		}
		client, err := env.client()
		if err != nil {
			return err
		}
		c.prepare(cmd)
		accepted, err := client.Edit(cmd.Context(), e, c.operation, c.author)
		if err != nil {
			return err
		}
		return c.report(cmd, client, accepted)
	}
	env.flags(cmd, "", "the environment")
	c.flags(cmd)
	return cmd
}

func newWithdraw() *cobra.Command {
	var w edit.Withdraw
	cmd := &cobra.Command{
		Use: "withdraw MODEL@VERSION", Short: "Take a version out of service at once", Args: cobra.ExactArgs(1),
		Example: "  poplarshore withdraw cheap@v2 --reason 'wrong risk tags' --wait",
	}
	cmd.Flags().StringVar(&w.Reason, "reason", "", "why, for the other operators")
	cmd.Flags().BoolVar(&w.Force, "force", false, "also if no version of the model is left")
	return editCommand(cmd, func(args []string) (edit.Edit, error) {
		_ = w.Version.UnmarshalText([]byte(args[0]))
		if w.Version.Model == "" || w.Version.Version == "" {
			return edit.Edit{}, ErrUsage.New("%q is not model@version", args[0])
		}
		return edit.Edit{Withdraw: &w}, nil
	})
}

func newRollout() *cobra.Command {
	cmd := &cobra.Command{Use: "rollout", Short: "Hold, resume or end a roll-out"}
	verbs := []struct {
		name, short     string
		paused, aborted bool
	}{
		{"pause", "Keep a roll-out on its step", true, false},
		{"resume", "Let a roll-out go on", false, false},
		{"abort", "End a roll-out and return to the replaced version", false, true},
	}
	for _, verb := range verbs {
		sub := &cobra.Command{
			Use: verb.name + " ID", Short: verb.short, Args: cobra.ExactArgs(1),
			Example: "  poplarshore rollout " + verb.name + " cheap-v2 --wait",
		}
		cmd.AddCommand(editCommand(sub, func(args []string) (edit.Edit, error) {
			return edit.Edit{Rollout: &edit.Rollout{ID: rollout.ID(args[0]), Paused: verb.paused, Aborted: verb.aborted}}, nil
		}))
	}
	return cmd
}

func newTakeover() *cobra.Command {
	var t edit.Takeover
	var account, name, region string
	cmd := &cobra.Command{
		Use: "takeover", Short: "Set the share of traffic taken from the older router", Args: cobra.NoArgs,
		Example: "  poplarshore takeover --account works --model cheap --share 0.1 --wait",
	}
	f := cmd.Flags()
	f.StringVar(&account, "account", "", "client account; empty means all")
	f.StringVar(&name, "model", "", "model; empty means all")
	f.StringVar(&t.Rule.Service, "service", "", "plain service; empty means all")
	f.StringVar(&region, "region", "", "region; empty means all")
	f.Float64Var(&t.Rule.Share, "share", 0, "part that this system takes, 0 to 1")
	return editCommand(cmd, func([]string) (edit.Edit, error) {
		t.Rule.Account = accountID(account)
		t.Rule.Model = model.Name(name)
		t.Rule.Region = regionID(region)
		return edit.Edit{Takeover: &t}, nil
	})
}
