// Package rollout decides how traffic moves from one version of a model to
// another, and when a version must stop.
//
// # Model
//
// A Plan names the replaced version (From), the new one (To) and the steps. A
// Progress row says how far the roll-out is; it stands in the table service and
// is changed by compare-and-swap alone. Its generation grows by one with each
// change, and nodes ignore rows with a lower generation than they have seen.
//
// Three parts decide, none of which does I/O or reads a clock:
//
//   - Assign, on each VM and for each new session: which version it gets. The
//     share is taken by a stable hash of the session key, so that a session that
//     got the new version at a small share also gets it at a greater one.
//   - Guard, on each VM: counts what its own requests showed and stops the new
//     version on that VM at once, without asking anybody.
//   - Decide, on the holder of the roll-out job: from the row, the plan and the
//     reports of all failure domains to the next row and what to tell. It keeps
//     nothing between calls: a holder that died is replaced by any other, which
//     calls Decide on the row it reads.
//
// # When a version is bad
//
// Errors, slow answers and low ratings are counts out of a number of tries;
// ratings are sums of values from 0 to 1. Each is compared between the new and
// the replaced version by a sequential test that may be looked at after each
// request without raising the rate of false alarms: the product of the beta
// mixture likelihood ratios of both versions (Robbins, "Statistical Methods
// Related to the Law of the Iterated Logarithm", 1970), at its least over all
// pairs of means that differ by no more than a tolerance, is an e-process (Ramdas,
// Gruenwald, Vovk and Shafer, "Game-theoretic statistics and safe anytime-valid
// inference", 2023). It needs no more than a count and a sum, so that evidence
// of many VMs is merged by addition.
//
// A version that serves alone is watched by a Watch: Shiryaev-Roberts
// e-detectors (Shin, Ramdas and Rinaldo, "E-detectors", 2022) on the same counts
// against a reference rate; the mean time between false alarms is at least the
// threshold, in observations.
//
// # Silence is not health
//
// A step needs evidence from each failure domain it names: enough requests,
// enough ratings, all of them recent. Where any is missing the roll-out holds,
// with a reason, and is told as stalled when it has held for long.
package rollout
