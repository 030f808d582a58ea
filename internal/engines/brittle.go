package engines

import (
	"time"

	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/upstream"
)

const (
	// brittleMemory is how long a service counts as brittle after an upstream last said so.
	brittleMemory = 30 * time.Second
	// placesReportTTL is how long a load report is used to divide the places of an upstream.
	placesReportTTL = 500 * time.Millisecond
	// rejectionPause is how long an upstream that rejected a request of this VM for want of
	// room gets no other from it, and remoteRejectionPause that after one of another VM.
	rejectionPause       = time.Second
	remoteRejectionPause = 300 * time.Millisecond
)

// brittleService is what the upstreams of a service say of how they bear rejections.
type brittleService struct {
	// namedAt is when one of them last said that it is brittle.
	namedAt time.Time
}

// SetBrittle records whether the upstream, by its answer to a request sent at the given
// time, ends if it has to reject requests for want of room. It holds for all upstreams of the
// service. An answer that says nothing of it ends that only if its request was sent after one
// last did.
func (e *Engine) SetBrittle(brittle bool, sentAt time.Time) {
	if !brittle && !e.directory.IsBrittle(e.entry().Service) {
		return
	}
	if e.directory.setBrittle(e.entry().Service, brittle, sentAt) && e.directory.opts.OnBrittle != nil {
		e.directory.opts.OnBrittle(e.Upstream(), brittle)
	}
}

// setBrittle sets whether the upstreams of a service are brittle, and reports whether that
// changed.
func (d *Directory) setBrittle(service string, brittle bool, sentAt time.Time) bool {
	now := d.clock.Now()
	d.brittleMu.Lock()
	defer d.brittleMu.Unlock()
	known, was := d.brittle[service]
	switch {
	case brittle:
		d.brittle[service] = brittleService{namedAt: now}
	case !was || sentAt.Before(known.namedAt):
		return false
	default:
		delete(d.brittle, service)
	}
	if was == brittle {
		return false
	}
	d.selfReports.WithLabelValues(map[bool]string{true: "brittle", false: "not_brittle"}[brittle]).Inc()
	d.log.Info("upstreams of a service bear few rejections, or as many as usual again", "service", service, "brittle", brittle)
	return true
}

// SetBrittle records what an upstream said to another VM. Unknown upstreams are ignored.
func (d *Directory) SetBrittle(id upstream.ID, brittle bool) {
	if e := d.find(id); e != nil {
		d.setBrittle(e.entry().Service, brittle, d.clock.Now())
	}
}

// IsBrittle reports whether the upstreams of a service end if they have to reject requests.
func (d *Directory) IsBrittle(service string) bool {
	d.brittleMu.RLock()
	defer d.brittleMu.RUnlock()
	known, named := d.brittle[service]
	return named && d.clock.Since(known.namedAt) < brittleMemory
}

// MarkRejected records that the upstream rejected a request of this VM for want of room, and
// tells the other VMs if it is brittle.
func (e *Engine) MarkRejected() {
	if !e.directory.IsBrittle(e.entry().Service) {
		return
	}
	e.directory.selfReports.WithLabelValues("full").Inc()
	e.leaveAlone(rejectionPause)
	if e.directory.opts.OnRejected != nil {
		e.directory.opts.OnRejected(e.Upstream())
	}
}

// MarkRejected records that the upstream rejected a request of another VM. Unknown upstreams
// are ignored.
func (d *Directory) MarkRejected(id upstream.ID) {
	if e := d.find(id); e != nil {
		e.leaveAlone(remoteRejectionPause)
	}
}

// leaveAlone sends the upstream nothing new for a while.
func (e *Engine) leaveAlone(d time.Duration) {
	until := e.directory.clock.Now().Add(d)
	e.mu.Lock()
	defer e.mu.Unlock()
	if until.After(e.fullUntil) {
		e.fullUntil = until
	}
}

// hasPlace reports whether this VM may send the upstream one more request, if its service is
// brittle. The caller holds mu.
func (e *Engine) hasPlace(now time.Time) bool {
	entry := e.entry()
	if entry.Capacity <= 0 || !e.directory.IsBrittle(entry.Service) {
		return true
	}
	if now.Before(e.fullUntil) {
		return false
	}
	rank, vms := e.directory.opts.Rank()
	return limit.Places{
		Capacity: entry.Capacity, Upstreams: (*e.directory.sizes.Load())[entry.Service], VMs: vms, Rank: rank, Offset: int(e.hash % uint64(vms)),
		Reported: now.Sub(e.reportedAt) < placesReportTTL, Others: e.remoteRequests,
	}.Allow(e.inFlight, e.directory.sharedTime(now))
}
