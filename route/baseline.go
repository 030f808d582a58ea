package route

import (
	"sort"
	"sync/atomic"
)

// RoundRobin selects the upstreams in rotation and skips those that a filter refuses.
type RoundRobin struct {
	Filters []Filter
	// next is the start index of the next selection, before reduction modulo the
	// number of candidates.
	next atomic.Uint64
}

// Select implements Selector.
func (b *RoundRobin) Select(r *Request, s Source) (Decision, bool) {
	start := b.next.Add(1)
	return firstPassing(r, s, b.Filters, func(k int) int { return int((start + uint64(k)) % uint64(s.Len())) })
}

// Random selects a random upstream among those that pass all filters.
type Random struct {
	Filters []Filter
}

// Select implements Selector.
func (b Random) Select(r *Request, s Source) (Decision, bool) {
	w := newWalk(s.Len(), r.Draw)
	return firstPassing(r, s, b.Filters, func(int) int { i, _ := w.next(); return i })
}

// LeastRequests selects the upstream with the fewest requests in flight from this
// VM. Requests of other senders are not counted.
type LeastRequests struct {
	Filters []Filter
}

// Select implements Selector.
func (b LeastRequests) Select(r *Request, s Source) (Decision, bool) {
	var d Decision
	best := 0
	w := newWalk(s.Len(), r.Draw)
	for i, ok := w.next(); ok; i, ok = w.next() {
		c, passed := passes(r, s, b.Filters, i, &d.Refused)
		if !passed {
			continue
		}
		d.Considered++
		if d.Upstream == nil || c.InFlight < best {
			best = c.InFlight
			d.Upstream, d.Ref = c.Upstream, c.Ref
		}
	}
	return d, d.Upstream != nil
}

// HotCold draws a sample and classifies the candidates with more requests than
// the sample's Quantile as hot. It selects the cold candidate with the lowest
// latency, or the one with the fewest requests if all are hot. This is the rule
// of Prequal (NSDI 2024), with load reports in place of probes.
type HotCold struct {
	Filters []Filter
	// Sample is the number of candidates drawn.
	Sample int
	// Quantile of the sample's request counts above which a candidate is hot, 0 to 1.
	Quantile float64
}

// Select implements Selector.
func (b HotCold) Select(r *Request, s Source) (Decision, bool) {
	var d Decision
	sample := make([]Candidate, 0, b.Sample)
	w := newWalk(s.Len(), r.Draw)
	for len(sample) < b.Sample {
		i, ok := w.next()
		if !ok {
			break
		}
		if c, passed := passes(r, s, b.Filters, i, &d.Refused); passed {
			sample = append(sample, c)
		}
	}
	d.Considered = len(sample)
	if len(sample) == 0 {
		return d, false
	}
	sort.SliceStable(sample, func(i, j int) bool { return sample[i].Requests() < sample[j].Requests() })
	hotThreshold := sample[int(b.Quantile*float64(len(sample)-1))].Requests()
	best := &sample[0]
	for i := range sample {
		c := &sample[i]
		if c.Requests() <= hotThreshold && c.FirstToken+2*c.LinkLatency < best.FirstToken+2*best.LinkLatency {
			best = c
		}
	}
	d.Upstream, d.Ref = best.Upstream, best.Ref
	return d, true
}

// firstPassing returns the first candidate that passes all filters. order(k) is
// the index of the candidate to try in step k.
func firstPassing(r *Request, s Source, filters []Filter, order func(k int) int) (Decision, bool) {
	var d Decision
	for k := range s.Len() {
		c, passed := passes(r, s, filters, order(k), &d.Refused)
		if passed {
			d.Upstream, d.Ref, d.Considered = c.Upstream, c.Ref, 1
			return d, true
		}
	}
	return d, false
}

// passes fills candidate i and reports whether all filters pass it. A refusal is
// counted in refused.
func passes(r *Request, s Source, filters []Filter, i int, refused *RefusalCounts) (Candidate, bool) {
	var c Candidate
	s.Fill(i, &c)
	for _, f := range filters {
		if !f.Pass(r, &c) {
			refused[f.Reason()]++
			return c, false
		}
	}
	return c, true
}
