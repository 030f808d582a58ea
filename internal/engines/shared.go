package engines

import (
	"math"
	"time"

	"github.com/poplarshore/poplarshore/internal/loadshare"
	"github.com/poplarshore/poplarshore/route"
)

// maxScale bounds the ratio between two VMs' usual gaps of a service, in both directions. Speeds
// of a VM whose usual gaps differ by more are not used.
const maxScale = 8

// SharedReports returns what this VM tells the others of its region: the newest load report on
// each upstream, and how fast it has proven to be. It is empty unless Options.ShareReports is
// set.
func (d *Directory) SharedReports() loadshare.Message {
	var m loadshare.Message
	if !d.opts.ShareReports {
		return m
	}
	now := d.clock.Now()
	d.mu.RLock()
	defer d.mu.RUnlock()
	for service := range d.byService {
		for name, gap := range d.paceOf(service).models.Known() {
			m.Usuals = append(m.Usuals, loadshare.Usual{Key: loadshare.ModelKey(service, name), Gap: gap})
		}
	}
	for _, e := range d.byID {
		if !e.Leaving() {
			m.Entries = append(m.Entries, e.sharedReport(now))
		}
	}
	return m
}

// sharedReport returns what this VM tells others about the upstream.
func (e *Engine) sharedReport(now time.Time) loadshare.Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := loadshare.Entry{Key: e.key}
	if age := now.Sub(e.reportedAt); !e.reportedAt.IsZero() && age <= loadshare.MaxReportAge {
		entry.HasReport, entry.Age = true, age
		entry.Running, entry.Waiting = e.report.Running, e.report.Waiting
	}
	entry.Speed, entry.Weight = e.pace.shared.ToPass(&e.pace.lasting, now)
	return entry
}

// Merged counts the entries of a message by what became of them: Used ones told something new,
// Stale ones nothing, and Unknown ones are on upstreams or incarnations that this VM doesn't
// know.
type Merged struct{ Used, Stale, Unknown int }

// MergeReports uses what another VM of the region tells about upstreams. Reports count if they are
// newer than the known ones. It does nothing unless Options.ShareReports is set.
func (d *Directory) MergeReports(m loadshare.Message) Merged {
	var merged Merged
	if !d.opts.ShareReports {
		return merged
	}
	now := d.clock.Now()
	d.mu.RLock()
	defer d.mu.RUnlock()
	scales := make(map[string]float64, len(d.byService))
	for service := range d.byService {
		scales[service] = d.paceOf(service).mergeUsuals(service, m.Usuals)
	}
	byKey := make(map[uint64]*Engine, len(d.byID))
	for _, e := range d.byID {
		byKey[e.key] = e
	}
	for i := range m.Entries {
		entry := &m.Entries[i]
		e := byKey[entry.Key]
		switch {
		case e == nil:
			merged.Unknown++
		case e.mergeReport(entry, scales[e.entry().Service], now):
			merged.Used++
		default:
			merged.Stale++
		}
	}
	return merged
}

// mergeUsuals returns the factor that converts another VM's speeds of a service into this VM's;
// zero if that is unknown. Both are relative to usual gaps, in which VMs differ by a common
// factor. Usual gaps that this VM doesn't know yet are taken over.
func (p *servicePace) mergeUsuals(service string, usuals []loadshare.Usual) float64 {
	theirs := make(map[uint32]time.Duration, len(usuals))
	for _, u := range usuals {
		theirs[u.Key] = u.Gap
	}
	names := p.models.Names()
	sum, n := 0.0, 0
	for _, name := range names {
		gap, told := theirs[loadshare.ModelKey(service, name)]
		if own, known := p.models.Of(name).Gap(); told && known {
			sum += math.Log(float64(gap) / float64(own))
			n++
		}
	}
	scale := 1.0
	if n > 0 {
		scale = math.Exp(sum / float64(n))
	}
	if scale > maxScale || scale < 1.0/maxScale {
		return 0
	}
	adopted := 0
	for _, name := range names {
		if gap, told := theirs[loadshare.ModelKey(service, name)]; told {
			p.models.Of(name).Adopt(time.Duration(float64(gap) / scale))
			adopted++
		}
	}
	if adopted == 0 {
		return 0
	}
	return scale
}

// mergeReport uses what another VM tells about the upstream, and reports whether it told
// something new.
func (e *Engine) mergeReport(entry *loadshare.Entry, scale float64, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	used := false
	if entry.Weight > 0 && scale > 0 {
		_, known := e.pace.shared.ToPass(&e.pace.lasting, now)
		used = entry.Weight > known
		e.pace.shared.Merge(entry.Speed*scale, entry.Weight, now)
	}
	at := now.Add(-entry.Age)
	if entry.HasReport && at.Sub(e.reportedAt) > loadshare.NewerBy {
		slowdown := e.report.Slowdown
		e.report = route.Load{Running: entry.Running, Waiting: entry.Waiting, Capacity: e.report.Capacity, Slowdown: slowdown}
		e.reportedAt = at
		// Requests that this VM has sent since the report are not in it, and those that have
		// ended since then are. The difference is small, as reports are at most some seconds old.
		e.setRemoteRequests(e.report)
		used = true
	}
	return used
}

// lastingSpeed returns how much longer than usual the upstream takes over a longer time: a
// property of its machine. The caller holds mu.
func (e *Engine) lastingSpeed(now time.Time) float64 {
	return e.pace.shared.Lasting(&e.pace.lasting, now)
}

const (
	// meanLoadSpan is the time over which the load of an upstream is smoothed, and loadSpan the
	// time constant with which its expected load returns to the smoothed one. With 0.5 s or 1 s,
	// and without the return, more answers ended late in the simulation of 25 VMs.
	meanLoadSpan = 4 * time.Second
	loadSpan     = 3 * time.Second
)

// setRemoteRequests records the number of requests of other senders by a load report. The caller
// holds mu, as for othersRequests.
func (e *Engine) setRemoteRequests(l route.Load) {
	e.remoteRequests = max(l.Running+l.Waiting-e.inFlight, 0)
	p := &e.pace
	keep := 0.0
	if !p.meanLoadAt.IsZero() {
		keep = math.Exp(-max(e.reportedAt.Sub(p.meanLoadAt), 0).Seconds() / meanLoadSpan.Seconds())
	}
	p.meanLoad = keep*p.meanLoad + (1-keep)*float64(e.remoteRequests)
	p.meanLoadAt = e.reportedAt
}

// othersRequests returns the number of requests that other senders are expected to have on the
// upstream; 0 if the latest report is older than ttl. Where VMs share reports, ttl has no effect:
// the number returns from that of the report to the mean as the report ages, because other VMs know
// the same report and choose by it, and is 0 if the report is older than loadMemory.
func (e *Engine) othersRequests(now time.Time, ttl time.Duration) int {
	age := now.Sub(e.reportedAt)
	if !e.directory.opts.ShareReports {
		if age >= ttl {
			return 0
		}
		return e.remoteRequests
	}
	if age >= loadMemory {
		return 0
	}
	keep := math.Exp(-age.Seconds() / loadSpan.Seconds())
	return int(math.Round(e.pace.meanLoad + keep*(float64(e.remoteRequests)-e.pace.meanLoad)))
}
