// Package members lists the VMs and the addresses at which they serve each other.
//
// Each VM has one row in the platform's store. An Announcer writes it unless a listing of
// the table already has it, also after a restart or a restore of the store from an older
// copy. Because many VMs start at the same time, the Announcer sends the row to a seed
// first, whose Collector writes the rows of many VMs in one transaction. Only if the row
// doesn't appear in the table soon, the VM writes it itself.
//
// Rows of stopped VMs are not deleted, so callers have to expect that a VM doesn't answer.
package members
