// Package rows names the rows and objects that the programs keep in the
// platform's store.
package rows

import (
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/vm"
)

// Names makes keys below one prefix.
type Names struct {
	// Prefix belongs to one environment and ends in "/".
	Prefix string
}

// Configuration is the prefix of the configuration's head row and bodies.
func (n Names) Configuration() string { return n.Prefix + "configuration" }

// Claims is the prefix of claims of non-idempotent requests.
func (n Names) Claims() string { return n.Prefix + "claims/" }

// Ledger is the prefix of the ledger's segments and totals.
func (n Names) Ledger() string { return n.Prefix + "ledger" }

// Leases is the prefix of job leases.
func (n Names) Leases() string { return n.Prefix + "leases/" }

// Progress is the row of a roll-out's progress.
func (n Names) Progress(id rollout.ID) string { return n.Prefix + "rollout/" + string(id) }

// Reports is the prefix of the VMs' reports on a roll-out.
func (n Names) Reports(id rollout.ID) string { return n.Prefix + "rollout-report/" + string(id) + "/" }

// Report is the row of one VM's report on a roll-out.
func (n Names) Report(id rollout.ID, vm vm.ID) string { return n.Reports(id) + string(vm) }
