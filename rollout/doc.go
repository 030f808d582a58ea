// Package rollout decides how traffic moves from one version of a model to
// another, and when a version has to be stopped.
//
// # Model
//
// A Plan names the replaced version (From), the new version (To) and the steps.
// A Progress row records how far the roll-out has come. It is stored in the table
// service and changed only by compare-and-swap. Its generation increases by one
// with each change, and nodes ignore rows with a lower generation than one they
// have already seen.
//
// Decisions are made in three places, none of which does I/O or reads a clock:
//
//   - Assign runs on each VM for each new session and selects its version. The
//     share is applied to a stable hash of the session key, so that a session
//     that got the new version at a small share also gets it at a larger one.
//   - Guard runs on each VM. It counts the results of the VM's own requests and
//     stops the new version on that VM at once, without coordinating with others.
//   - Decide runs on the holder of the roll-out job. It computes the next row, and
//     whether operators are notified, from the row, the plan and the reports of
//     all failure domains. It keeps no state between calls: if the holder fails,
//     any other process replaces it and calls Decide on the row that it reads.
//
// # When a version is bad
//
// Errors, slow answers and low ratings are counts out of a number of trials;
// ratings are sums of values from 0 to 1. Each metric is compared between the new
// and the replaced version by a sequential test that may be evaluated after each
// request without raising the rate of false alarms. The statistic is the product
// of the beta mixture likelihood ratios of both versions (Robbins, "Statistical
// Methods Related to the Law of the Iterated Logarithm", 1970), minimized over all
// pairs of means that differ by at most a tolerance. It is an e-process (Ramdas,
// Gruenwald, Vovk and Shafer, "Game-theoretic statistics and safe anytime-valid
// inference", 2023). It depends only on counts and sums, so that evidence from
// many VMs is merged by addition.
//
// A version that serves without a second version to compare it with is monitored
// by a Watch: Shiryaev-Roberts e-detectors (Shin, Ramdas and Rinaldo,
// "E-detectors", 2022) on the same counts against a reference rate. The mean time
// between false alarms is at least the threshold, in observations.
//
// # Missing evidence
//
// Missing reports are not treated as good results. A step ends only when each of
// its failure domains sends recent reports and these together show enough requests
// and enough ratings. Otherwise the roll-out holds and records the reason; one
// that has held for too long is reported to operators as stalled.
package rollout
