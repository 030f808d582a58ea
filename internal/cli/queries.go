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

// accountID converts the value of a flag.
func accountID(s string) account.ID { return account.ID(s) }

// regionID converts the value of a flag.
func regionID(s string) domain.Region { return domain.Region(s) }

// newStatus returns the command that shows the status of each given VM.
func newStatus() *cobra.Command {
	var env environmentFlags
	var out outputFlags
	cmd := &cobra.Command{
		Use: "status", Short: "Show the status of the given VMs", Args: cobra.NoArgs,
		Example: "  poplarshore status --operators https://vm-1:8081,https://vm-2:8081",
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := env.client()
			if err != nil {
				return err
			}
			var statuses []entryd.Status
			for _, url := range env.urls {
				status, err := vmStatus(cmd, client, url)
				if err != nil {
					return err
				}
				statuses = append(statuses, status)
			}
			return out.print(cmd, statuses, func() {
				for _, s := range statuses {
					printStatus(cmd, s)
				}
			})
		},
	}
	env.addTo(cmd, "", "the environment")
	out.addTo(cmd)
	return cmd
}

// vmStatus returns the status of the VM with the given URL.
func vmStatus(cmd *cobra.Command, client *operatorclient.Client, url string) (entryd.Status, error) {
	vmClient := &operatorclient.Client{URLs: []string{url}, Token: client.Token, HTTP: client.HTTP}
	var status entryd.Status
	raw, err := vmClient.GetJSON(cmd.Context(), "/operator/v1/status")
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal(raw, &status); err != nil {
		return status, operatorclient.ErrRefused.Wrap(err, "decode status of %s", url)
	}
	return status, nil
}

// newHistory returns the command that lists the newest revisions.
func newHistory() *cobra.Command {
	var env environmentFlags
	var out outputFlags
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
					printLine(cmd, "%6d  %s  %-12s %s  %s", r.Number, r.Time.Format("2006-01-02 15:04:05"), r.Author, r.OpID, r.Hash)
				}
			})
		},
	}
	env.addTo(cmd, "", "the environment")
	out.addTo(cmd)
	return cmd
}

// newLedger returns the command that shows the ledger's totals of a client account.
func newLedger() *cobra.Command {
	cmd := &cobra.Command{Use: "ledger", Short: "Read the ledger"}
	var env environmentFlags
	totals := &cobra.Command{
		Use: "totals ACCOUNT", Short: "Show the billed totals of a client account", Args: cobra.ExactArgs(1),
		Example: "  poplarshore ledger totals works",
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := env.client()
			if err != nil {
				return err
			}
			raw, err := client.GetJSON(cmd.Context(), "/operator/v1/ledger/"+args[0])
			if err != nil {
				return err
			}
			printLine(cmd, "%s", strings.TrimSpace(string(raw)))
			return nil
		},
	}
	env.addTo(totals, "", "the environment")
	cmd.AddCommand(totals)
	return cmd
}

// printStatus prints the status of a VM. Lines without content are left out.
func printStatus(cmd *cobra.Command, s entryd.Status) {
	printLine(cmd, "%s (%s, %s): %s, revision %d by %s, %s, %d in flight", s.VM, s.Domain, s.Region, s.Reason,
		s.Revision.Number, s.Revision.Author, s.Freshness, s.InFlight)
	printLine(cmd, "  revision %d: confirmed %v, expired %v, unknown %v", s.InForce.Number, s.InForce.Confirmed, s.InForce.Expired, s.InForce.Unknown)
	for _, r := range s.Rollouts {
		printLine(cmd, "  roll-out %s of %s: %s, step %d, share %.3g, held for %q", r.ID, r.Model, r.Phase, r.Step, r.Share, r.HeldFor)
	}
	for _, r := range s.Takeover {
		printLine(cmd, "  takes %.3g of account %q, model %q, service %q, region %q", r.Share, r.Account, r.Model, r.Service, r.Region)
	}
	for _, v := range s.StoppedVersions {
		printLine(cmd, "  version %s is stopped on this VM", v)
	}
	if len(s.LeavingUpstreams) > 0 {
		printLine(cmd, "  upstreams leaving: %v", s.LeavingUpstreams)
	}
	printLine(cmd, "  billing: %d bytes of records wait, %d segments of other VMs held; store: %s", s.BacklogBytes, s.HeldSegments, s.Store)
}
