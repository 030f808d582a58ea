// Package rows defines the keys of the rows and objects that the programs keep in
// the platform's store.
package rows

import (
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/vm"
)

// Keys builds the keys of one environment. All of them begin with Prefix.
type Keys struct {
	// Prefix is the prefix of the environment's keys. It ends in "/".
	Prefix string
}

// Configuration returns the prefix of the row with the head of the configuration
// and of the objects with its revisions.
func (n Keys) Configuration() string { return n.Prefix + "configuration" }

// Claims returns the prefix of the claims of non-idempotent calls.
func (n Keys) Claims() string { return n.Prefix + "claims/" }

// Ledger returns the prefix of the ledger's segments and totals.
func (n Keys) Ledger() string { return n.Prefix + "ledger" }

// Leases returns the prefix of the leases of jobs.
func (n Keys) Leases() string { return n.Prefix + "leases/" }

// Progress returns the key of the row with the progress of a roll-out.
func (n Keys) Progress(id rollout.ID) string { return n.Prefix + "rollout/" + string(id) }

// Reports returns the prefix of the VMs' reports on a roll-out. It ends in "/".
func (n Keys) Reports(id rollout.ID) string { return n.Prefix + "rollout-report/" + string(id) + "/" }

// Report returns the key of the row with one VM's report on a roll-out.
func (n Keys) Report(id rollout.ID, vm vm.ID) string { return n.Reports(id) + string(vm) }
