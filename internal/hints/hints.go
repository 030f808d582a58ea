// Package hints notifies other VMs of expensive requests that this VM has just
// sent to an upstream, so that they prefer other upstreams. Upstreams report their
// load with their answers, and send no report while they prefill a long prompt.
//
// Hints are sent as UDP datagrams without acknowledgment. A lost hint can only lead
// to a worse routing decision.
package hints

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"

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
// silent, that it names another limit than before, that it is fragile or full, or that
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
	onHint   func(Hint)
	log      *slog.Logger
	outcomes *prometheus.CounterVec
}

// NewCounter registers and returns the counter of hints by outcome: sent,
// send_failed, ring_full (dropped because the send queue was full), received and
// unreadable.
func NewCounter(registry prometheus.Registerer) *prometheus.CounterVec {
	counts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarshore_hints_total", Help: "Hints on heavy work by what became of them.",
	}, []string{"outcome"})
	registry.MustRegister(counts)
	return counts
}

// Open listens on a UDP address. Receive calls onHint for each hint received.
// Errors: ErrListen.
func Open(address string, vms *members.List, regionOf func(domain.ID) domain.Region, onHint func(Hint), log *slog.Logger, outcomes *prometheus.CounterVec) (*Exchange, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, ErrListen.Wrap(err, "cannot resolve UDP address %q", address)
	}
	conn, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, ErrListen.Wrap(err, "cannot listen on UDP address %q", address)
	}
	return &Exchange{
		conn: conn, vms: vms, regionOf: regionOf, queue: ring.New[Hint](maxQueuedHints), onHint: onHint, log: log, outcomes: outcomes}, nil
}

// Address returns the address that the exchange listens on.
func (x *Exchange) Address() netip.AddrPort {
	return x.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Announce queues a hint for sending to the VMs that it concerns. It does not block; the hint is
// dropped if the queue is full.
func (x *Exchange) Announce(h Hint) {
	if !x.queue.Offer(h) {
		x.outcomes.WithLabelValues("ring_full").Inc()
	}
}

// Send sends queued hints until ctx is done.
func (x *Exchange) Send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-x.queue.Items():
			x.send(h)
		}
	}
}

// send sends a hint to the VMs that it concerns and counts the outcomes.
func (x *Exchange) send(h Hint) {
	others := x.vms.Others()
	if h.Quarantine != nil && len(others) <= maxBroadcastVMs {
		direct := *h.Quarantine
		direct.ForAll = false
		h.Quarantine = &direct
	}
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
	for _, m := range selectRecipients(others, x.regionOf, h) {
		x.write(payload, m.Hints)
	}
}

// write sends a datagram and counts the outcome.
func (x *Exchange) write(payload []byte, to netip.AddrPort) {
	outcome := "sent"
	if _, err := x.conn.WriteToUDPAddrPort(payload, to); err != nil {
		outcome = "send_failed"
	}
	x.outcomes.WithLabelValues(outcome).Inc()
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
		var h Hint
		if err := json.Unmarshal(buf[:n], &h); err != nil {
			x.outcomes.WithLabelValues("unreadable").Inc()
			continue
		}
		x.outcomes.WithLabelValues("received").Inc()
		x.onHint(h)
	}
}

// Close closes the connection.
func (x *Exchange) Close() { _ = x.conn.Close() }
