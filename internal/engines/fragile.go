package engines

import (
	"time"

	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/upstream"
)

const (
	// fragileMemory is how long a service counts as fragile after an upstream last said so.
	fragileMemory = 30 * time.Second
	// placesReportTTL is how long a load report is used to divide the places of an upstream.
	placesReportTTL = 500 * time.Millisecond
	// rejectionPause is how long an upstream that rejected a request of this VM for want of
	// room gets no other from it, and remoteRejectionPause that after one of another VM.
	rejectionPause       = time.Second
	remoteRejectionPause = 300 * time.Millisecond
)

// fragileService is what the upstreams of a service say of how they bear rejections.
type fragileService struct {
	// namedAt is when one of them last said that it is fragile.
	namedAt time.Time
}

// SetFragile records whether the upstream, by its answer to a request sent at the given
// time, ends if it has to reject requests for want of room. It holds for all upstreams of the
// service. An answer that says nothing of it ends that only if its request was sent after one
// last did.
func (e *Engine) SetFragile(fragile bool, sentAt time.Time) {
	if !fragile && !e.directory.IsFragile(e.entry().Service) {
		return
	}
	if e.directory.setFragile(e.entry().Service, fragile, sentAt) && e.directory.opts.OnFragile != nil {
		e.directory.opts.OnFragile(e.Upstream(), fragile)
	}
}

// setFragile sets whether the upstreams of a service are fragile, and reports whether that
// changed.
func (d *Directory) setFragile(service string, fragile bool, sentAt time.Time) bool {
	now := d.clock.Now()
	d.fragileMu.Lock()
	defer d.fragileMu.Unlock()
	known, was := d.fragile[service]
	switch {
	case fragile:
		d.fragile[service] = fragileService{namedAt: now}
	case !was || sentAt.Before(known.namedAt):
		return false
	default:
		delete(d.fragile, service)
	}
	if was == fragile {
		return false
	}
	d.selfReports.WithLabelValues(map[bool]string{true: "fragile", false: "not_fragile"}[fragile]).Inc()
	d.log.Info("upstreams of a service bear few rejections, or as many as usual again", "service", service, "fragile", fragile)
	return true
}

// SetFragile records what an upstream said to another VM. Unknown upstreams are ignored.
func (d *Directory) SetFragile(id upstream.ID, fragile bool) {
	if e := d.find(id); e != nil {
		d.setFragile(e.entry().Service, fragile, d.clock.Now())
	}
}

// IsFragile reports whether the upstreams of a service end if they have to reject requests.
func (d *Directory) IsFragile(service string) bool {
	d.fragileMu.RLock()
	defer d.fragileMu.RUnlock()
	known, named := d.fragile[service]
	return named && d.clock.Since(known.namedAt) < fragileMemory
}

// MarkRejected records that the upstream rejected a request of this VM for want of room, and
// tells the other VMs if it is fragile.
func (e *Engine) MarkRejected() {
	e.rejectSlowStart()
	if !e.directory.IsFragile(e.entry().Service) {
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
// fragile. The caller holds mu.
func (e *Engine) hasPlace(now time.Time) bool {
	entry := e.entry()
	if entry.Capacity <= 0 || !e.directory.IsFragile(entry.Service) {
		return true
	}
	if now.Before(e.fullUntil) {
		return false
	}
	rank, vms := e.directory.opts.Rank()
	return limit.Places{
		Capacity: entry.Capacity, Upstreams: (*e.directory.sizes.Load())[entry.Service], VMs: vms, Rank: rank, Offset: int(e.hash % uint64(vms)),
		Reported: now.Sub(e.pace.ownReportAt) < placesReportTTL, Others: e.remoteRequests,
	}.Allow(e.inFlight, e.directory.sharedTime(now))
}
