// Package deadline measures how often a roll-out with a deadline ends wrongly: a bad
// version is completed, or a good one is not.
//
// The requests for a service arrive at random at a few VMs, and go to the new version by
// the share of the shift. What a VM observed reaches the others after a delay; slow
// answers are known when they end or are overdue. Each VM asks the plan for the next
// state in its turn. The simulation advances in ticks.
//
// The baseline is an earlier rule, which completed a version on two good answers of the
// VM that wrote, if the evidence against it was weak.
package deadline
