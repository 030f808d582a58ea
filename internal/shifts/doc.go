// Package shifts runs the shifts of services to new versions on one VM. It
// determines which version each session gets, counts the results of both versions
// on this VM, and writes the next state of the shared row.
//
// Package rollout/shift makes the decisions. All rows are in one table: one row for
// each service with the state, and one row for each service and VM with the VM's
// counts of both versions.
package shifts
