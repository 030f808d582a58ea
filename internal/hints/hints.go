// Package hints notifies other VMs of what this VM has just learnt of upstreams; Hint lists it. One
// kind are expensive requests that this VM has sent to an upstream, so that other VMs prefer
// other upstreams: upstreams report their load with their answers, and send no report while they
// prefill a long prompt.
//
// Hints are sent as UDP datagrams without acknowledgment, so no decision may depend on the
// arrival of one. Evidence on requests that crash upstreams has a byte budget of its own.
package hints

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/internal/ring"
	"github.com/poplarshore/poplarshore/upstream"
)

var namespace = errorx.NewNamespace("hints")

// ErrListen is returned for an address that cannot be resolved or listened on.
var ErrListen = namespace.NewType("listen")

// Hint announces an expensive request that was sent to an upstream, that the upstream is
// silent, that it names another limit than before, that it is fragile, full or cold, or that
// requests crash upstreams. A hint with Reports concerns many upstreams instead.
type Hint struct {
	Upstream upstream.ID `json:"upstream"`
	// WorkMS is the expected time, in milliseconds, that the upstream is busy with
	// the request.
	WorkMS int64 `json:"work_ms"`
	// Silent announces instead that a request to the upstream timed out while nothing
	// came from it.
	Silent bool `json:"silent,omitzero"`
	// Limit announces instead the number of requests per second that the upstream takes
	// from all VMs together, 0 for no limit; nil announces nothing.
	Limit *float64 `json:"limit,omitempty"`
	// Fragile announces instead whether the upstreams of its service end if they have to reject
	// requests, and Full that it rejected one for want of room.
	Fragile *bool `json:"fragile,omitempty"`
	Full    bool  `json:"full,omitzero"`
	// Cold announces instead for how many milliseconds the upstream is still cold, 0 that it has
	// ended and will be cold when it is back; nil announces nothing.
	Cold *int64 `json:"cold_ms,omitempty"`
	// Quarantine carries evidence on requests that crash upstreams; nil announces nothing.
	Quarantine *quarantines.Message `json:"quarantine,omitempty"`
	// Reports carries what upstreams reported, encoded by package loadshare, and no Upstream;
	// nil announces nothing. To holds the addresses that get it. To is not sent.
	Reports []byte           `json:"reports,omitempty"`
	To      []netip.AddrPort `json:"-"`
	// Region is the upstream's region. It is not sent.
	Region domain.Region `json:"-"`
}

const (
	// maxQueuedHints is the largest number of hints waiting to be sent.
	maxQueuedHints = 256
	// maxDatagramBytes is the size of the receive buffer. The rest of a longer
	// datagram is cut off.
	maxDatagramBytes = 2048
)

// Exchange sends hints to the other VMs and receives theirs.
type Exchange struct {
	conn     *net.UDPConn
	vms      *members.List
	regionOf func(domain.ID) domain.Region
	queue    *ring.Ring[Hint]
	// evidence holds hints with evidence, apart from the others, which it must not displace.
	evidence *ring.Ring[Hint]
	router   EvidenceRouter
	// pacedEvidence holds the datagrams with evidence until the byte budget allows to send them.
	pacedEvidence *evidenceQueue
	onHint        func(Hint)
	log           *slog.Logger
	outcomes      *prometheus.CounterVec
}

// NewCounter registers and returns the counter of hints by outcome: sent,
// send_failed, ring_full (dropped because the send queue was full), evidence_dropped
// (dropped because of the byte budget for evidence), received and unreadable.
func NewCounter(registry prometheus.Registerer) *prometheus.CounterVec {
	counts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarshore_hints_total", Help: "Hints on heavy work by what became of them.",
	}, []string{"outcome"})
	registry.MustRegister(counts)
	return counts
}

// Open listens on a UDP address, on a VM of the given region. Receive calls onHint for each
// hint received. Errors: ErrListen.
func Open(
	address string, vms *members.List, region domain.Region, regionOf func(domain.ID) domain.Region, onHint func(Hint),
	log *slog.Logger, outcomes *prometheus.CounterVec,
) (*Exchange, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, ErrListen.Wrap(err, "cannot resolve UDP address %q", address)
	}
	conn, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, ErrListen.Wrap(err, "cannot listen on UDP address %q", address)
	}
	return &Exchange{
		conn: conn, vms: vms, regionOf: regionOf, queue: ring.New[Hint](maxQueuedHints), onHint: onHint, log: log, outcomes: outcomes,
		evidence: ring.New[Hint](maxQueuedHints), router: EvidenceRouter{Region: region, RegionOf: regionOf}, pacedEvidence: newEvidenceQueue(),
	}, nil
}

// Address returns the address that the exchange listens on.
func (x *Exchange) Address() netip.AddrPort {
	return x.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Announce queues a hint for sending to the VMs that it concerns. It does not block; the hint is
// dropped if the queue is full.
func (x *Exchange) Announce(h Hint) {
	queue := x.queue
	if h.Quarantine != nil {
		queue = x.evidence
	}
	if !queue.Offer(h) {
		x.outcomes.WithLabelValues("ring_full").Inc()
	}
}

// Send sends queued hints until ctx is done.
func (x *Exchange) Send(ctx context.Context) {
	nextEvidence := time.NewTimer(0)
	defer nextEvidence.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-x.queue.Items():
			x.send(h)
			continue
		case h := <-x.evidence.Items():
			x.queueEvidence(h)
		case <-nextEvidence.C:
		}
		if wait := x.sendEvidence(); wait > 0 {
			nextEvidence.Reset(wait)
		}
	}
}

// send sends a hint to the VMs that it concerns and counts the outcomes.
func (x *Exchange) send(h Hint) {
	payload, err := json.Marshal(h)
	if err != nil {
		x.log.Error("cannot encode hint; it is not sent", "error", err)
		return
	}
	if h.Reports != nil {
		for _, to := range h.To {
			x.write(payload, to)
		}
		return
	}
	for _, m := range selectRecipients(x.vms.Others(), x.regionOf, h) {
		x.write(payload, m.Hints)
	}
}

// write sends a datagram and counts its outcome.
func (x *Exchange) write(payload []byte, to netip.AddrPort) {
	outcome := "sent"
	if _, err := x.conn.WriteToUDPAddrPort(payload, to); err != nil {
		outcome = "send_failed"
	}
	x.outcomes.WithLabelValues(outcome).Inc()
}

// queueEvidence queues a hint with evidence for the VMs that get it.
func (x *Exchange) queueEvidence(h Hint) {
	now := time.Now()
	for _, d := range x.router.Route(x.vms.Others(), *h.Quarantine) {
		payload, err := json.Marshal(Hint{Quarantine: &d.Message})
		if err != nil {
			x.log.Error("cannot encode hint; it is not sent", "error", err)
			return
		}
		x.pacedEvidence.add(d.Message.Priority(), payload, d.To.Hints, now)
	}
}

// sendEvidence sends the evidence that the byte budget allows. It returns the time after
// which to call it again, zero if nothing waits.
func (x *Exchange) sendEvidence() time.Duration {
	for {
		now := time.Now()
		d, wait, ok := x.pacedEvidence.next(now)
		if dropped, first := x.pacedEvidence.takeDropped(now); dropped > 0 {
			x.outcomes.WithLabelValues("evidence_dropped").Add(float64(dropped))
			if first {
				x.log.Warn("evidence on crashes exceeds its byte budget; a part of it is dropped", "bytes_per_second", evidenceBytesPerSecond)
			}
		}
		if !ok {
			return wait
		}
		x.write(d.payload, d.to)
	}
}

// Receive receives hints until ctx is done, and then closes the exchange. It also
// returns when the exchange is closed.
func (x *Exchange) Receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, x.Close)
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := x.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		h, err := Decode(buf[:n])
		if err != nil {
			x.log.Debug("ignoring hint", "error", err)
			x.outcomes.WithLabelValues("unreadable").Inc()
			continue
		}
		x.outcomes.WithLabelValues("received").Inc()
		if h.Quarantine != nil && h.Quarantine.Spread.Groups > 0 {
			x.Announce(h)
		}
		x.onHint(h)
	}
}

// Close closes the connection.
func (x *Exchange) Close() { _ = x.conn.Close() }
