package loadshare

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// RoundInterval is the least time between two rounds of a VM, and roundJitter by how much
	// longer it may be, so that the VMs' rounds don't coincide.
	RoundInterval = 400 * time.Millisecond
	roundJitter   = 100 * time.Millisecond
	// Fanout is the number of VMs that get a message in each round.
	Fanout = 3
	// NewerBy is by how much a report must be newer than the known one to count as newer. A
	// report seems newer by the latency of the link each time it is passed on; without this
	// margin VMs would return the same report to each other until it is too old.
	NewerBy = 50 * time.Millisecond
	// minWeightGain is the least increase of the weight of a speed, in gaps, that is worth a
	// message.
	minWeightGain = 8
)

// sent is what was last sent about an upstream: the time of its report, the weight of its speed in
// gaps, and when they were sent.
type sent struct {
	reportedAt time.Time
	weight     float64
	at         time.Time
}

// Sender decides when a VM sends what it knows of the upstreams, and which part. The zero value
// has sent nothing. It is not safe for concurrent use.
type Sender struct {
	sent map[uint64]sent
}

// NextRound returns the time until the next round.
func NextRound(rng *rand.Rand) time.Duration {
	return RoundInterval + time.Duration(rng.Int64N(int64(roundJitter)))
}

// Select reduces a message to what is to be sent now, and reports whether there is anything new
// in it. New reports come first: those that are newer by the most than what was last sent about
// their upstream, as they tell others the most, and the freshest of these. Then come the
// upstreams that were not sent about for the longest time; what doesn't fit has its turn in
// later rounds.
func (s *Sender) Select(m *Message, now time.Time) bool {
	anyNew := false
	type ranked struct {
		Entry
		isNew  bool
		gain   time.Duration
		sentAt time.Time
	}
	entries := make([]ranked, 0, len(m.Entries))
	known := make(map[uint64]sent, len(m.Entries))
	for _, e := range m.Entries {
		e.HasReport = e.HasReport && e.Age <= MaxReportAge
		if !e.HasReport && e.Weight < 1 {
			continue
		}
		last := s.sent[e.Key]
		last.weight = min(last.weight, e.Weight)
		known[e.Key] = last
		gain := time.Duration(0)
		if e.HasReport {
			gain = min(now.Add(-e.Age).Sub(last.reportedAt), MaxReportAge)
		}
		isNew := gain > NewerBy || e.Weight >= last.weight+minWeightGain
		anyNew = anyNew || isNew
		entries = append(entries, ranked{Entry: e, isNew: isNew, gain: gain, sentAt: last.at})
	}
	s.sent = known
	if !anyNew {
		return false
	}
	slices.SortFunc(entries, func(a, b ranked) int {
		if a.isNew != b.isNew {
			if a.isNew {
				return -1
			}
			return 1
		}
		if a.isNew {
			return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key, b.Key))
		}
		return cmp.Or(a.sentAt.Compare(b.sentAt), cmp.Compare(a.Key, b.Key))
	})
	m.Entries = m.Entries[:0]
	for _, e := range entries[:min(len(entries), MaxEntries)] {
		m.Entries = append(m.Entries, e.Entry)
		last := sent{reportedAt: s.sent[e.Key].reportedAt, weight: e.Weight, at: now}
		if e.HasReport {
			last.reportedAt = now.Add(-e.Age)
		}
		s.sent[e.Key] = last
	}
	return true
}

// Recipients returns up to Fanout random elements of vms, the other VMs of the region. It
// reorders vms.
func Recipients[T any](rng *rand.Rand, vms []T) []T {
	n := min(Fanout, len(vms))
	for i := range n {
		j := i + rng.IntN(len(vms)-i)
		vms[i], vms[j] = vms[j], vms[i]
	}
	return vms[:n]
}
