package engines

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/coldstart"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/loadshare"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/pace"
	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/slowstart"
	"github.com/poplarshore/poplarshore/upstream"
)

// Engine is this VM's view of one upstream: its entry, estimated load and recent
// failures. It is safe for concurrent use.
type Engine struct {
	directory *Directory
	current   atomic.Pointer[Entry]
	// identity is the part of the entry that selection uses.
	identity upstream.Upstream
	// hash is the hash of the ID, for rendezvous hashing.
	hash uint64
	// key identifies the incarnation in messages between VMs.
	key uint64
	// leaving is set once the entry or the upstream itself reports that the upstream is
	// leaving, and is never cleared: an upstream that returns is a new incarnation.
	leaving atomic.Bool
	// removed is set once the directory no longer holds this incarnation of the upstream.
	removed atomic.Bool
	// missing is set while the entry is kept although it is missing in the store.
	missing atomic.Bool
	// addressPort is the parsed address; invalid if it is none.
	addressPort netip.AddrPort
	// excluded is an exclusion. sharesAddress reports whether other entries have the same address, and
	// holdsAddress whether this is the only one of them in use.
	excluded                    atomic.Int32
	sharesAddress, holdsAddress atomic.Bool

	mu sync.Mutex
	// inFlight is the number of this VM's requests on the upstream.
	inFlight int
	// report is the upstream's latest load report.
	report     route.Load
	reportedAt time.Time
	// remoteRequests is the number of requests from other senders, by the latest
	// report.
	remoteRequests int
	// fullUntil is until when a fragile upstream gets nothing new, as it rejected a request.
	fullUntil time.Time
	// pendingWork is the time for which this VM's requests without a response
	// yet are expected to keep the upstream busy.
	pendingWork time.Duration
	// pending holds this VM's requests without a response yet, oldest first.
	pending []*Attempt
	// lastReceivedAt is when the upstream last sent anything to this VM.
	lastReceivedAt time.Time
	// remoteWorkUntil is when the announced work from other VMs is expected to
	// be done.
	remoteWorkUntil time.Time
	// serviceTime is the smoothed time that a request occupies the upstream;
	// zero while unknown.
	serviceTime time.Duration
	// pausedUntil is until when the upstream asked this VM to send it nothing.
	pausedUntil time.Time
	// requestLimit is the number of requests per second that the upstream takes from all
	// VMs together; zero if it set no limit. limitNamedAt is when it last named one to this
	// VM, and limitedSends holds when this VM sent its latest requests under it.
	requestLimit float64
	limitNamedAt time.Time
	limitedSends []time.Time
	// cold is what is known of whether the upstream is cold, and sends holds when this VM sent
	// its latest requests. coldSince is when a cold phase was logged, zero if none is going on.
	// coldAnnouncedAt is when other VMs were last told of one.
	cold                       coldstart.State
	sends                      []time.Time
	coldSince, coldAnnouncedAt time.Time
	// window is the slow start of the upstream.
	window slowstart.Window
	// silentUntil is until when the upstream is avoided because it was silent.
	silentUntil time.Time
	// failureRate is the smoothed share of requests that the upstream failed, 0
	// to 1.
	failureRate float64
	// pace is what is known of how fast the upstream generates.
	pace enginePace
	// evidence is what is known of whether the upstream has its address.
	evidence addressEvidence
}

func newEngine(e Entry, d *Directory) *Engine {
	engine := &Engine{directory: d, hash: route.HashID(e.ID), key: loadshare.UpstreamKey(e.ID, e.Incarnation)}
	engine.identity = upstream.Upstream{ID: e.ID, Domain: e.Domain, Service: e.Service, Capacity: e.Capacity}
	engine.pace.lasting = pace.Factor{HalfLife: lastingHalfLife, MaxWeight: lastingMaxWeight}
	engine.addressPort = parseAddress(e.Address)
	engine.evidence.registeredAt = d.clock.Now()
	engine.set(e)
	return engine
}

func (e *Engine) set(entry Entry) {
	if entry.Leaving {
		e.leaving.Store(true)
	}
	e.current.Store(&entry)
}

func (e *Engine) entry() *Entry { return e.current.Load() }

// Upstream returns the part of the entry that selection uses.
func (e *Engine) Upstream() upstream.Upstream { return e.identity }

// ID returns the upstream's id.
func (e *Engine) ID() upstream.ID { return e.entry().ID }

// Incarnation identifies the upstream and its start.
func (e *Engine) Incarnation() quarantine.Incarnation {
	entry := e.entry()
	return quarantine.Incarnation{Upstream: entry.ID, Born: entry.Incarnation}
}

// Address returns the upstream's host:port.
func (e *Engine) Address() string { return e.entry().Address }

// Version returns the version of the upstream's software and weights.
func (e *Engine) Version() model.VersionID { return e.entry().Version }

// LinkLatency returns the one-way latency from this VM to the upstream.
func (e *Engine) LinkLatency() time.Duration { return e.directory.linkLatency(e.entry().Domain) }

// Leaving reports whether the upstream is draining and gets no new requests.
func (e *Engine) Leaving() bool { return e.leaving.Load() }

// TakesRequests reports whether the upstream may get new requests: it is registered, not leaving,
// not evacuated, and has the address of its entry as far as this VM knows.
func (e *Engine) TakesRequests() bool {
	return !e.removed.Load() && !e.Leaving() && !e.Evacuated() && exclusion(e.excluded.Load()) == notExcluded
}

// Region returns the region of the upstream.
func (e *Engine) Region() domain.Region { return e.directory.opts.RegionOf(e.entry().Domain) }

// Missing reports whether the upstream's entry is kept although it is missing in the store,
// because it may have expired during an outage.
func (e *Engine) Missing() bool { return e.missing.Load() }

// AddRemoteWork adds prefill work that another VM sent to the upstream.
func (e *Engine) AddRemoteWork(work time.Duration) {
	now := e.directory.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.remoteWorkUntil.Before(now) {
		e.remoteWorkUntil = now
	}
	e.remoteWorkUntil = e.remoteWorkUntil.Add(min(work, maxHintedWork))
}

// SinceLastReceived returns the time since the upstream last sent anything to
// this VM.
func (e *Engine) SinceLastReceived() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directory.clock.Since(e.lastReceivedAt)
}

// IsSilent reports whether a request to the upstream lately got nothing for its idle timeout, and nothing has
// come from the upstream since.
func (e *Engine) IsSilent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directory.clock.Now().Before(e.silentUntil)
}

// fillCandidate fills in the upstream as a candidate for selection. FirstToken is
// the expected wait plus the penalty for recent failures.
func (e *Engine) fillCandidate(c *route.Candidate, now time.Time) {
	d := e.directory
	entry := e.entry()
	region := d.opts.RegionOf(entry.Domain)
	e.mu.Lock()
	defer e.mu.Unlock()
	*c = route.Candidate{
		Upstream: &e.identity, Region: region, Evacuated: e.Evacuated(), Capacity: entry.Capacity, InFlight: e.inFlight,
		Loaded: true, Leaving: e.Leaving(), Paused: now.Before(e.pausedUntil), OverLimit: !e.hasGrant(now), NoPlace: !e.hasPlace(now),
		Cold: !e.hasColdGrant(now), RequestDuration: e.serviceTime,
		BreakerOpen: !d.breakers.Ready(entry.ID, model.Ref{}, now),
		FirstToken:  time.Duration(e.failureRate * float64(d.opts.Placement.FailurePenalty)),
		LinkLatency: d.linkLatency(entry.Domain),
	}
	c.FirstToken += e.expectedWait(now) + max(e.silentUntil.Sub(now), 0)
	c.RemoteInFlight = e.othersRequests(now, reportTTL)
	if region != d.opts.Region {
		c.PricePerMB = d.opts.Placement.CrossRegionPrice
	}
}

// ExpectedWait returns how long a new request is expected to wait before the
// upstream starts to process it.
func (e *Engine) ExpectedWait() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expectedWait(e.directory.clock.Now())
}

// Utilization returns the estimated number of requests on the upstream divided by
// its capacity; zero if the capacity is unknown.
func (e *Engine) Utilization() float64 {
	capacity := e.entry().Capacity
	if capacity <= 0 {
		return 0
	}
	return float64(e.Requests()) / float64(capacity)
}

// Requests returns the estimated number of requests on the upstream, of this VM and all others.
func (e *Engine) Requests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight + e.othersRequests(e.directory.clock.Now(), reportTTL)
}

// expectedWait returns how long a new request is expected to wait: for the work
// sent before it, or, if the oldest pending request has waited for longer than
// that, as long as that one. The caller holds mu.
func (e *Engine) expectedWait(now time.Time) time.Duration {
	wait := e.pendingWork + max(e.remoteWorkUntil.Sub(now), 0)
	if len(e.pending) > 0 {
		wait += max(now.Sub(e.pending[0].startedAt)-wait, 0)
	}
	return wait
}
