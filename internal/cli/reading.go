package cli

import (
	"encoding/json"
	"strings"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/entryd"
	"github.com/poplarshore/poplarshore/internal/operatorclient"
)

func accountID(s string) account.ID { return account.ID(s) }

func regionID(s string) domain.Region { return domain.Region(s) }

func newStatus() *cobra.Command {
	var env environment
	var out output
	cmd := &cobra.Command{
		Use: "status", Short: "Show the state of the VMs asked", Args: cobra.NoArgs,
		Example: "  poplarshore status --operators https://vm-1:8081,https://vm-2:8081",
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := env.client()
			if err != nil {
				return err
			}
			var all []entryd.Status
			for _, url := range env.urls {
				status, err := statusOf(cmd, client, url)
				if err != nil {
					return err
				}
				all = append(all, status)
			}
			return out.print(cmd, all, func() {
				for _, s := range all {
					sayStatus(cmd, s)
				}
			})
		},
	}
	env.flags(cmd, "", "the environment")
	out.flags(cmd)
	return cmd
}

func statusOf(cmd *cobra.Command, client *operatorclient.Client, url string) (entryd.Status, error) {
	one := &operatorclient.Client{URLs: []string{url}, Token: client.Token, HTTP: client.HTTP}
	var status entryd.Status
	raw, err := one.Raw(cmd.Context(), "/operator/v1/status")
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal(raw, &status); err != nil {
		return status, operatorclient.ErrRefused.Wrap(err, "status of %s", url)
	}
	return status, nil
}

func newHistory() *cobra.Command {
	var env environment
	var out output
	cmd := &cobra.Command{
		Use: "history", Short: "List the newest revisions", Args: cobra.NoArgs,
		Example: "  poplarshore history -o json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := env.client()
			if err != nil {
				return err
			}
			revisions, err := client.History(cmd.Context())
			if err != nil {
				return err
			}
			return out.print(cmd, revisions, func() {
				for _, r := range revisions {
					say(cmd, "%6d  %s  %-12s %s  %s", r.Number, r.Time.Format("2006-01-02 15:04:05"), r.Author, r.OpID, r.Hash)
				}
			})
		},
	}
	env.flags(cmd, "", "the environment")
	out.flags(cmd)
	return cmd
}

func newLedger() *cobra.Command {
	cmd := &cobra.Command{Use: "ledger", Short: "Read the ledger"}
	var env environment
	totals := &cobra.Command{
		Use: "totals ACCOUNT", Short: "Show what a client account was billed", Args: cobra.ExactArgs(1),
		Example: "  poplarshore ledger totals works",
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := env.client()
			if err != nil {
				return err
			}
			raw, err := client.Raw(cmd.Context(), "/operator/v1/ledger/"+args[0])
			if err != nil {
				return err
			}
			say(cmd, "%s", strings.TrimSpace(string(raw)))
			return nil
		},
	}
	env.flags(totals, "", "the environment")
	cmd.AddCommand(totals)
	return cmd
}

func sayStatus(cmd *cobra.Command, s entryd.Status) {
	say(cmd, "%s (%s, %s): %s, revision %d by %s, %s, %d in flight", s.VM, s.Domain, s.Region, s.Reason,
		s.Revision.Number, s.Revision.Author, s.Freshness, s.InFlight)
	say(cmd, "  revision %d: confirmed %v, expired %v, unknown %v", s.InForce.Number, s.InForce.Confirmed, s.InForce.Expired, s.InForce.Unknown)
	for _, r := range s.Rollouts {
		say(cmd, "  roll-out %s of %s: %s, step %d, share %.3g, held for %q", r.ID, r.Model, r.Phase, r.Step, r.Share, r.HeldFor)
	}
	for _, r := range s.Takeover {
		say(cmd, "  takes %.3g of account %q, model %q, service %q, region %q", r.Share, r.Account, r.Model, r.Service, r.Region)
	}
	for _, v := range s.Stopped {
		say(cmd, "  version %s is stopped on this VM", v)
	}
	if len(s.Leaving) > 0 {
		say(cmd, "  upstreams leaving: %v", s.Leaving)
	}
	say(cmd, "  billing: %d bytes of records wait, %d segments of other VMs held; store: %s", s.Backlog, s.Held, s.Store)
}
