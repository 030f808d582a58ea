package cli

import (
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/document/edit"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
)

// editCommand adds flags and the function to a command that applies one edit. build returns
// the edit for the arguments.
func editCommand(cmd *cobra.Command, build func(args []string) (edit.Edit, error)) *cobra.Command {
	env, c := &environmentFlags{}, &changeFlags{}
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
		return c.printAcceptance(cmd, client, accepted)
	}
	env.addTo(cmd, "", "the environment")
	c.addTo(cmd)
	return cmd
}

func newWithdraw() *cobra.Command {
	var w edit.Withdraw
	cmd := &cobra.Command{
		Use: "withdraw MODEL@VERSION", Short: "Withdraw a version from service immediately", Args: cobra.ExactArgs(1),
		Example: "  poplarshore withdraw cheap@v2 --reason 'wrong risk tags' --wait",
	}
	cmd.Flags().StringVar(&w.Reason, "reason", "", "reason of the withdrawal, for other operators")
	cmd.Flags().BoolVar(&w.Force, "force", false, "withdraw the version even if it is the last one of the model")
	return editCommand(cmd, func(args []string) (edit.Edit, error) {
		_ = w.Version.UnmarshalText([]byte(args[0]))
		if w.Version.Model == "" || w.Version.Version == "" {
			return edit.Edit{}, ErrUsage.New("invalid version %q: expected model@version", args[0])
		}
		return edit.Edit{Withdraw: &w}, nil
	})
}

// newRollout returns the command that pauses, resumes or aborts a roll-out.
func newRollout() *cobra.Command {
	cmd := &cobra.Command{Use: "rollout", Short: "Pause, resume or abort a roll-out"}
	verbs := []struct {
		name, short     string
		paused, aborted bool
	}{
		{"pause", "Pause a roll-out at its current step", true, false},
		{"resume", "Resume a paused roll-out", false, false},
		{"abort", "Abort a roll-out and return to the previous version", false, true},
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

// newTakeover returns the command that sets a takeover share.
func newTakeover() *cobra.Command {
	var t edit.Takeover
	var account, modelName, region string
	cmd := &cobra.Command{
		Use: "takeover", Short: "Set the share of traffic that this system takes over from the older router", Args: cobra.NoArgs,
		Example: "  poplarshore takeover --account works --model cheap --share 0.1 --wait",
	}
	f := cmd.Flags()
	f.StringVar(&account, "account", "", "client account; empty means all")
	f.StringVar(&modelName, "model", "", "model; empty means all")
	f.StringVar(&t.Rule.Service, "service", "", "service without a model; empty means all")
	f.StringVar(&region, "region", "", "region; empty means all")
	f.Float64Var(&t.Rule.Share, "share", 0, "share of the traffic for this system, 0 to 1")
	return editCommand(cmd, func([]string) (edit.Edit, error) {
		t.Rule.Account = accountID(account)
		t.Rule.Model = model.Name(modelName)
		t.Rule.Region = regionID(region)
		return edit.Edit{Takeover: &t}, nil
	})
}
