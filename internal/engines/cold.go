package engines

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coldstart"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/upstream"
)

const (
	// coldGrantSpan is the time for which a grant for a cold upstream can be used. With 0.5 s,
	// all VMs together send at most 1.5 times the rate plus one request in any one second.
	coldGrantSpan = 500 * time.Millisecond
	// coldSettleTime is how long a VM sends nothing to cold upstreams after it first knew the
	// list of VMs. Until then the lists of other VMs may lack it, or its own list lack others
	// that start at the same time.
	coldSettleTime = coldstart.EntryLag
	// unknownColdLeft is when a caller may come back while this VM can't compute grants.
	unknownColdLeft = time.Second
	// rankTTL is how long the position of this VM among all VMs is used for cold upstreams.
	rankTTL = 50 * time.Millisecond
	// coldHintInterval is the shortest time between two hints about the same upstream.
	coldHintInterval = 2 * time.Second
	// maxHintedCold bounds how long an upstream is cold by another VM's hint.
	maxHintedCold = 30 * time.Second
)

// ColdStart describes cold upstreams of a service.
type ColdStart struct {
	// For is how long an upstream is cold after its start.
	For time.Duration
	// PerSecond is the number of requests per second that a cold upstream takes from all VMs
	// together; zero if the upstreams need no such limit.
	PerSecond float64
}

// ColdBound is the most that all VMs together may send a cold upstream in any one second:
// Overrun times ColdStart.PerSecond, plus Slack. Overrun under 1 counts as 1.
type ColdBound struct {
	Overrun, Slack float64
}

// minGrantsInWindow is the least mean number of grants in the time of one second plus
// coldGrantSpan, whose grants may be used within one second. With 0.5 no second holds two requests.
const minGrantsInWindow = 0.5

// rate returns the highest rate of grants, in requests per second, that keeps any one second
// within the bound. It is never above the rate of the service.
func (b ColdBound) rate(perSecond float64) float64 {
	most := max(b.Overrun, 1)*perSecond + b.Slack
	return min(perSecond, max(most-1, minGrantsInWindow)/(1+coldGrantSpan.Seconds()))
}

// coldService is a ColdStart in force.
type coldService struct {
	length time.Duration
	// rate is the rate of grants for one upstream, in requests per second.
	rate float64
}

// position is the position of this VM among all VMs at some time.
type position struct {
	at        time.Time
	rank, vms int
	known     bool
}

// coldUpstreams is what a Directory holds for cold upstreams.
type coldUpstreams struct {
	// services is nil while no service limits requests to cold upstreams.
	services atomic.Pointer[map[string]coldService]
	position atomic.Pointer[position]
	// knownAt is since when the list of VMs has been known; nil while it is not.
	knownAt atomic.Pointer[time.Time]
	starts  *prometheus.CounterVec
}

func newColdUpstreams(registry prometheus.Registerer) *coldUpstreams {
	c := &coldUpstreams{starts: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarshore_cold_upstreams_total",
		Help: "How often this VM began to treat an upstream as cold, by cause.",
	}, []string{"service", "cause"})}
	registry.MustRegister(c.starts)
	return c
}

// SetColdStart sets how the upstreams of a service start. It is to be called for each service
// of the configuration in force. It must not be called by two goroutines at once.
func (d *Directory) SetColdStart(service string, p ColdStart) {
	services := make(map[string]coldService)
	if current := d.cold.services.Load(); current != nil {
		for name, c := range *current {
			services[name] = c
		}
	}
	_, limited := services[service]
	delete(services, service)
	if p.PerSecond > 0 && p.For > 0 {
		services[service] = coldService{length: p.For, rate: d.opts.ColdBound.rate(p.PerSecond)}
		if !limited {
			d.expireSuspicions(service, p.For)
		}
	}
	if len(services) == 0 {
		d.cold.services.Store(nil)
		return
	}
	d.cold.services.Store(&services)
}

// expireSuspicions ends suspicions from before the service limited requests to cold upstreams
// that are older than the given age: nothing has been recorded that would have ended them.
func (d *Directory) expireSuspicions(service string, age time.Duration) {
	now := d.clock.Now()
	for _, e := range d.ForService(service) {
		e.mu.Lock()
		e.cold.Expire(age, now)
		e.mu.Unlock()
	}
}

// coldService returns how the upstreams of a service start, and false if requests to cold
// ones are not limited.
func (d *Directory) coldService(service string) (coldService, bool) {
	services := d.cold.services.Load()
	if services == nil {
		return coldService{}, false
	}
	c, ok := (*services)[service]
	return c, ok
}

// LimitsColdUpstreams reports whether the upstreams of some service get a limited rate of
// requests while they are cold.
func (d *Directory) LimitsColdUpstreams() bool { return d.cold.services.Load() != nil }

// coldPosition returns the position of this VM among all VMs, and false if this VM must not
// send anything to cold upstreams because it doesn't know the list of VMs.
func (d *Directory) coldPosition(now time.Time) (rank, vms int, known bool) {
	p := d.cold.position.Load()
	if p == nil || now.Sub(p.at) >= rankTTL || now.Before(p.at) {
		p = &position{at: now, known: d.vmsSettled(now)}
		p.rank, p.vms = d.opts.Rank()
		d.cold.position.Store(p)
	}
	return p.rank, p.vms, p.known
}

// followVMs updates since when the list of VMs has been known. It is called periodically.
func (d *Directory) followVMs() {
	if d.opts.VMsKnown != nil && !d.opts.VMsKnown() {
		d.cold.knownAt.Store(nil)
		return
	}
	now := d.clock.Now()
	d.cold.knownAt.CompareAndSwap(nil, &now)
}

// vmsSettled reports whether the list of VMs has been known for coldSettleTime.
func (d *Directory) vmsSettled(now time.Time) bool {
	if d.opts.VMsKnown == nil {
		return true
	}
	since := d.cold.knownAt.Load()
	return since != nil && d.opts.VMsKnown() && now.Sub(*since) >= coldSettleTime
}

// coldGrants returns how the requests to the upstream are divided among the VMs while it is
// cold, and the time on the shared clock; false if this VM gets none. The VMs' turns differ
// among upstreams, so that each VM has one at some upstream at any time.
func (e *Engine) coldGrants(c coldService, now time.Time) (limit.Grants, time.Duration, bool) {
	shared, clockKnown := e.directory.opts.SharedClock.Now()
	rank, vms, vmsKnown := e.directory.coldPosition(now)
	vms = max(vms, 1)
	return limit.Grants{
		PerSecond: c.rate, VMs: vms, Rank: (rank + int(e.hash%uint64(vms))) % vms, Span: coldGrantSpan,
	}, shared, clockKnown && vmsKnown
}

// isCold reports whether the upstream is cold and its service limits requests to cold ones. It
// logs the end of a cold phase. The caller holds mu, as for the methods up to recordSend.
func (e *Engine) isCold(now time.Time) (coldService, bool) {
	c, limited := e.directory.coldService(e.entry().Service)
	if !limited {
		return c, false
	}
	cold := e.cold.Cold(c.length, now)
	if !cold && e.coldSince != (time.Time{}) {
		e.directory.log.Info("upstream is cold no more", "upstream", e.ID(), "service", e.entry().Service,
			"after_ms", now.Sub(e.coldSince).Milliseconds())
		e.coldSince = time.Time{}
	}
	return c, cold
}

// hasColdGrant reports whether this VM may send the upstream a request although it may be
// cold.
func (e *Engine) hasColdGrant(now time.Time) bool {
	c, cold := e.isCold(now)
	if !cold {
		return true
	}
	grants, shared, known := e.coldGrants(c, now)
	return known && e.recentSends(now) < grants.Within(shared)
}

// recentSends returns the number of requests that this VM sent within coldGrantSpan.
func (e *Engine) recentSends(now time.Time) int {
	first := 0
	for first < len(e.sends) && now.Sub(e.sends[first]) >= coldGrantSpan {
		first++
	}
	e.sends = e.sends[first:]
	return len(e.sends)
}

// recordSend records a request to the upstream. Those to an upstream that is not cold count,
// too, as it may turn cold right after them.
func (e *Engine) recordSend(now time.Time) {
	if _, limited := e.directory.coldService(e.entry().Service); limited {
		e.recentSends(now)
		e.sends = append(e.sends, now)
	}
}

// inheritSends takes over the requests that were sent to an earlier incarnation of the upstream.
// They may have reached this one, and all VMs learn of it at about the same time.
func (e *Engine) inheritSends(earlier *Engine) {
	if earlier == nil {
		return
	}
	earlier.mu.Lock()
	defer earlier.mu.Unlock()
	e.sends = slices.Clone(earlier.sends)
}

// coldLeft returns the time until some VM may send the upstream a request, zero if this VM may
// now or the upstream is not cold. It is a fixed time while this VM does not know.
func (e *Engine) coldLeft(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hasColdGrant(now) {
		return 0
	}
	c, _ := e.isCold(now)
	grants, shared, known := e.coldGrants(c, now)
	if !known {
		return unknownColdLeft
	}
	return grants.Next(shared)
}

// beginCold counts and logs the begin of a cold phase if the upstream is cold and none was going
// on. The caller holds mu.
func (e *Engine) beginCold(cause string, now time.Time) {
	if _, cold := e.isCold(now); !cold || e.coldSince != (time.Time{}) {
		return
	}
	e.coldSince = now
	e.directory.cold.starts.WithLabelValues(e.entry().Service, cause).Inc()
	e.directory.log.Info("upstream is treated as cold", "upstream", e.ID(), "service", e.entry().Service, "cause", cause)
}

// suspect records that the upstream may be cold. It takes mu.
func (e *Engine) suspect(cause coldstart.Cause) {
	if _, limited := e.directory.coldService(e.entry().Service); !limited && cause != coldstart.Evacuation {
		return
	}
	now := e.directory.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold.Suspect(cause, now)
	e.beginCold(cause.String(), now)
}

// learnCold records what the first entry (isNew) or a changed one says of the upstream's start.
// An upstream in the first listing of the directory (firstListing) need not have just started.
func (e *Engine) learnCold(entry Entry, isNew, firstListing bool) {
	now := e.directory.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if isNew && firstListing && entry.Incarnation > 0 {
		e.cold.Start(time.UnixMilli(entry.Incarnation))
	}
	if isNew && !firstListing {
		e.cold.Suspect(coldstart.NewEntry, now)
	}
	if !isNew || entry.ColdFor > 0 {
		e.cold.ReportByEntry(entry.ColdFor, now)
	}
	cause := "entry"
	if isNew && entry.ColdFor == 0 {
		cause = coldstart.NewEntry.String()
	}
	e.beginCold(cause, now)
}

// MarkColdFor records that the upstream, by its answer to a request sent at the given time, is
// cold for d, or is not cold if d is zero. It tells other VMs if it is.
func (e *Engine) MarkColdFor(d time.Duration, sentAt time.Time) {
	now := e.directory.clock.Now()
	e.mu.Lock()
	e.cold.ReportByAnswer(max(d, 0), sentAt, now)
	e.beginCold("answer", now)
	e.mu.Unlock()
	if d > 0 {
		e.announceCold(d)
	}
}

// MarkReached records that a part of the answer to a request sent at the given time came.
func (e *Engine) MarkReached(sentAt time.Time) {
	now := e.directory.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold.Reach(sentAt, now)
}

// MarkUnreached records that a connection to the upstream was lost or refused, or that it was
// silent. The upstream may have ended, and begins slowly when it is back. ended tells other VMs
// that it did.
func (e *Engine) MarkUnreached(ended bool) {
	e.beginSlowStart("contact")
	if _, limited := e.directory.coldService(e.entry().Service); !limited {
		return
	}
	e.suspect(coldstart.Contact)
	if ended {
		e.announceCold(0)
	}
}

// announceCold tells other VMs for how long the upstream is cold, zero if it has ended, unless
// this VM has told them lately.
func (e *Engine) announceCold(d time.Duration) {
	if _, limited := e.directory.coldService(e.entry().Service); !limited || e.directory.opts.OnCold == nil {
		return
	}
	now := e.directory.clock.Now()
	e.mu.Lock()
	due := e.coldAnnouncedAt.IsZero() || now.Sub(e.coldAnnouncedAt) >= coldHintInterval
	if due {
		e.coldAnnouncedAt = now
	}
	e.mu.Unlock()
	if due {
		e.directory.opts.OnCold(e.Upstream(), d)
	}
}

// MarkCold records what another VM announced: the upstream is cold for d, or has ended if d is
// zero. This VM does not announce it again for a while. Unknown upstreams are ignored.
func (d *Directory) MarkCold(id upstream.ID, coldFor time.Duration) {
	e := d.find(id)
	if e == nil {
		return
	}
	now := d.clock.Now()
	e.mu.Lock()
	e.coldAnnouncedAt = now
	e.mu.Unlock()
	if coldFor <= 0 {
		e.suspect(coldstart.Hint)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold.ReportByHint(min(coldFor, maxHintedCold), now)
	e.beginCold(coldstart.Hint.String(), now)
}

// MarkUnreached records that the upstream at an address closed an unused connection early: it
// may have ended.
func (d *Directory) MarkUnreached(address string) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, e := range d.byID {
		if e.Address() == address {
			e.MarkUnreached(true)
		}
	}
}

// MarkDomainCold records that all upstreams of a failure domain may be cold. It is called when
// the domain's evacuation ends.
func (d *Directory) MarkDomainCold(id domain.ID) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, e := range d.byID {
		if e.entry().Domain == id {
			e.suspect(coldstart.Evacuation)
		}
	}
}
