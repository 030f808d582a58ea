// Package shifts carries out the moves of services to new versions on a VM:
// which version each session gets, what the VM saw of both versions, and the
// next step of the shared row.
//
// Decisions are those of rollout/shift. The rows live in one table: one row a
// service with the state, and one row a service and VM with the VM's counts of
// the new version, written as soon as it saw the new version fail.
package shifts
