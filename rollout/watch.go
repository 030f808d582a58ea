package rollout

import (
	"math"

	"github.com/poplarshore/poplarshore/vm"
)

// WatchOptions configure a Watch. Zero values stand for the defaults.
type WatchOptions struct {
	// Factor and Tolerance say how much worse than the reference a version may
	// be: the reference times the factor and the tolerance. They leave room for
	// the change of traffic over the day, as nothing serves beside the version
	// to compare it with. Defaults 1.5 and WatchTolerance.
	Factor    float64
	Tolerance Tolerance
	// LearnRequests is the number of requests before the watch judges;
	// default 2,000.
	LearnRequests int64
	// Memory is the number of requests after which an old one has lost all but
	// 1/e of its weight in the reference; default 200,000. A version that
	// turns bad more slowly than that is not caught.
	Memory float64
	// Threshold is the logarithm of the mean number of observations between
	// false alarms; default 25 (7e10). See ThresholdFor.
	Threshold float64
}

// WatchTolerance is applied where options give none.
var WatchTolerance = Tolerance{Errors: 0.01, Slow: 0.03, Low: 0.05, Rating: 0.04}

const (
	defaultFactor         = 1.5
	defaultLearnRequests  = 2_000
	defaultMemory         = 200_000
	defaultWatchThreshold = 25
	// referenceEvidence makes the reference an upper bound that holds with
	// probability 0.999.
	referenceEvidence = 7
)

func (o WatchOptions) withDefaults() WatchOptions {
	setDefault(&o.Factor, defaultFactor)
	setDefault(&o.Tolerance, WatchTolerance)
	setDefault(&o.LearnRequests, defaultLearnRequests)
	setDefault(&o.Memory, defaultMemory)
	setDefault(&o.Threshold, defaultWatchThreshold)
	return o
}

// ThresholdFor returns the Threshold at which watches, each observed perMonth
// times a month, raise at most falseStops false alarms a month together.
func ThresholdFor(falseStops, watches, perMonth float64) float64 {
	return math.Log(watches * perMonth * metrics / falseStops)
}

const metrics = 4

// Watch notices that a version in service turns worse than it was. It is fed
// with the counts that were added since the last observation, at a fixed
// period, and belongs to one goroutine. It starts anew where its holder does:
// what is lost is the evidence that had gathered so far.
type Watch struct {
	options   WatchOptions
	reference decayed
	detectors [metrics]detector
	verdict   Verdict
}

// decayed are counts that fade.
type decayed struct {
	sum, n   [metrics]float64
	requests int64
}

func (d *decayed) add(c Counts, memory float64) {
	keep := math.Exp(-float64(c.Requests) / memory)
	for i, s := range c.series(Tolerance{}) {
		d.sum[i] = d.sum[i]*keep + s.sum
		d.n[i] = d.n[i]*keep + float64(s.n)
	}
	d.requests += c.Requests
}

// NewWatch returns a watch that has seen nothing.
func NewWatch(o WatchOptions) *Watch {
	return &Watch{options: o.withDefaults()}
}

// Observe takes in new counts of the version and returns the verdict, which
// stays once it is bad.
func (w *Watch) Observe(added Counts) Verdict {
	if w.verdict.Bad {
		return w.verdict
	}
	if w.reference.requests >= w.options.LearnRequests {
		w.judge(added)
	}
	if !w.verdict.Bad {
		w.reference.add(added, w.options.Memory)
	}
	return w.verdict
}

func (w *Watch) judge(added Counts) {
	for i, s := range added.series(w.options.Tolerance) {
		mean, bound, ok := w.bound(i)
		if !ok {
			continue
		}
		detector := &w.detectors[i]
		detector.observe(s.sum, s.n, bound*w.options.Factor+s.tolerance)
		if detector.level() >= w.options.Threshold {
			w.verdict = Verdict{Bad: true, Metric: s.metric, Seen: s.mean(), Reference: mean}
			return
		}
	}
}

// minReferenceCount is the least number of values of which a reference is made.
const minReferenceCount = 200

// bound returns the mean of metric i and an upper bound of it.
func (w *Watch) bound(i int) (mean, high float64, ok bool) {
	n := w.reference.n[i]
	if n < minReferenceCount {
		return 0, 0, false
	}
	return w.reference.sum[i] / n, upperBound(w.reference.sum[i], int64(n), referenceEvidence), true
}

// Deltas turns the growing counts of each VM into what was added since the last
// time. It belongs to one goroutine.
type Deltas struct {
	seen map[vm.ID]Counts
}

// NewDeltas returns one that has seen nothing.
func NewDeltas() *Deltas {
	return &Deltas{seen: make(map[vm.ID]Counts)}
}

// Added returns the counts of the version that the reports added. A VM whose
// counts fell has started anew, and all of them are new. VMs that no report
// names are forgotten, so that memory is bounded by the VMs in sight.
func (d *Deltas) Added(reports []Report, of func(Report) Counts) Counts {
	var added Counts
	seen := make(map[vm.ID]Counts, len(reports))
	for _, r := range reports {
		now := of(r)
		before := d.seen[r.VM]
		if now.less(before) {
			before = Counts{}
		}
		added = added.Add(now.Sub(before))
		seen[r.VM] = now
	}
	d.seen = seen
	return added
}
