package rollout

import (
	"math"

	"github.com/poplarshore/poplarshore/vm"
)

// WatchOptions configures a Watch. Zero values select the defaults.
type WatchOptions struct {
	// Factor and Tolerance limit how much worse than the reference a version may
	// be: the limit is the reference times Factor plus Tolerance. They allow for
	// changes of traffic over the day, because no other version serves at the
	// same time for comparison. Defaults 1.5 and WatchTolerance.
	Factor    float64
	Tolerance Tolerance
	// MinReferenceRequests is the number of requests in the reference from which
	// the watch judges the version; default 2,000.
	MinReferenceRequests int64
	// DecayRequests is the number of requests after which the weight of an
	// earlier request in the reference has decayed to 1/e; default 200,000. A
	// version that becomes bad more slowly than that is not detected.
	DecayRequests float64
	// Threshold is the natural logarithm of the mean number of observations
	// between false alarms; default 25 (7e10 observations). See ThresholdFor.
	Threshold float64
}

// WatchTolerance is used if the options set no tolerance.
var WatchTolerance = Tolerance{Errors: 0.01, Slow: 0.03, Low: 0.05, Rating: 0.04}

// Defaults of WatchOptions.
const (
	defaultFactor               = 1.5
	defaultMinReferenceRequests = 2_000
	defaultDecayRequests        = 200_000
	defaultWatchThreshold       = 25
	// referenceEvidence is the evidence at which the upper bound of the
	// reference is taken: the bound holds with probability 0.999.
	referenceEvidence = 7
)

func (o WatchOptions) withDefaults() WatchOptions {
	setDefault(&o.Factor, defaultFactor)
	setDefault(&o.Tolerance, WatchTolerance)
	setDefault(&o.MinReferenceRequests, defaultMinReferenceRequests)
	setDefault(&o.DecayRequests, defaultDecayRequests)
	setDefault(&o.Threshold, defaultWatchThreshold)
	return o
}

// ThresholdFor returns the Threshold at which the given number of watches, with
// observationsPerMonth observations each, raise at most falseAlarmsPerMonth false
// alarms a month in total.
func ThresholdFor(falseAlarmsPerMonth, watches, observationsPerMonth float64) float64 {
	return math.Log(watches * observationsPerMonth * metricCount / falseAlarmsPerMonth)
}

// metricCount is the number of metrics by which a version is judged.
const metricCount = 4

// Watch detects that a version in service becomes worse than it was. Its owner
// passes the counts added since the last observation, at a fixed period. It is not
// safe for concurrent use. Its state is not persisted: when the process restarts
// the accumulated evidence is lost.
type Watch struct {
	options   WatchOptions
	reference decayedCounts
	detectors [metricCount]detector
	verdict   Verdict
}

// decayedCounts are sums of values whose weight decays exponentially, per metric.
type decayedCounts struct {
	sum, n   [metricCount]float64
	requests int64
}

func (d *decayedCounts) add(c Counts, decayRequests float64) {
	decay := math.Exp(-float64(c.Requests) / decayRequests)
	for i, s := range c.metricSamples(Tolerance{}) {
		d.sum[i] = d.sum[i]*decay + s.sum
		d.n[i] = d.n[i]*decay + float64(s.n)
	}
	d.requests += c.Requests
}

// NewWatch returns a watch without observations.
func NewWatch(o WatchOptions) *Watch {
	return &Watch{options: o.withDefaults()}
}

// Observe adds new counts of the version and returns the verdict. A bad verdict is
// final.
func (w *Watch) Observe(delta Counts) Verdict {
	if w.verdict.Bad {
		return w.verdict
	}
	if w.reference.requests >= w.options.MinReferenceRequests {
		w.evaluate(delta)
	}
	if !w.verdict.Bad {
		w.reference.add(delta, w.options.DecayRequests)
	}
	return w.verdict
}

func (w *Watch) evaluate(delta Counts) {
	for i, s := range delta.metricSamples(w.options.Tolerance) {
		mean, bound, ok := w.referenceBound(i)
		if !ok {
			continue
		}
		detector := &w.detectors[i]
		detector.observe(s.sum, s.n, bound*w.options.Factor+s.tolerance)
		if detector.logStatistic() >= w.options.Threshold {
			w.verdict = Verdict{Bad: true, Metric: s.metric, Seen: s.mean(), Reference: mean}
			return
		}
	}
}

// minReferenceValues is the minimum number of values for a reference.
const minReferenceValues = 200

// referenceBound returns the reference mean of metric i and an upper bound of it.
// It returns false if there are too few values.
func (w *Watch) referenceBound(i int) (mean, upper float64, ok bool) {
	n := w.reference.n[i]
	if n < minReferenceValues {
		return 0, 0, false
	}
	return w.reference.sum[i] / n, upperBound(w.reference.sum[i], int64(n), referenceEvidence), true
}

// Deltas converts the cumulative counts of each VM into the counts added since the
// previous call. It is not safe for concurrent use.
type Deltas struct {
	previous map[vm.ID]Counts
}

// NewDeltas returns a Deltas without previous counts.
func NewDeltas() *Deltas {
	return &Deltas{previous: make(map[vm.ID]Counts)}
}

// Added returns the counts of a version that the reports add to those of the
// previous call. If a count of a VM has decreased, the VM has restarted its counts,
// and all of them are new. VMs without a report are forgotten, so that memory is
// bounded by the number of reporting VMs.
func (d *Deltas) Added(reports []Report, countsOf func(Report) Counts) Counts {
	var added Counts
	current := make(map[vm.ID]Counts, len(reports))
	for _, r := range reports {
		counts := countsOf(r)
		earlier := d.previous[r.VM]
		if counts.anyLess(earlier) {
			earlier = Counts{}
		}
		added = added.Add(counts.Sub(earlier))
		current[r.VM] = counts
	}
	d.previous = current
	return added
}
