// Package hints tells the other VMs of heavy work that this VM has just sent to
// an upstream, so that they send theirs elsewhere. An upstream's own reports
// come with its answers, and none come while it reads a long prompt.
//
// Hints are datagrams: one that is lost costs a worse choice and nothing else.
package hints

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/ring"
	"github.com/poplarshore/poplarshore/upstream"
)

var namespace = errorx.NewNamespace("hints")

// ErrListen reports an address that can't be listened on.
var ErrListen = namespace.NewType("listen")

// Hint says that an upstream was sent heavy work.
type Hint struct {
	Upstream upstream.ID `json:"upstream"`
	// WorkMS is how long the upstream is expected to be busy, in ms.
	WorkMS int64 `json:"work_ms"`
}

const (
	// ringHints is the number of hints that wait to be sent at most.
	ringHints = 256
	// maxHintBytes bounds a datagram.
	maxHintBytes = 512
)

// Exchange sends and receives hints.
type Exchange struct {
	conn   *net.UDPConn
	vms    *members.List
	out    *ring.Ring[Hint]
	take   func(Hint)
	log    *slog.Logger
	counts *prometheus.CounterVec
}

// NewCounter registers the counter of hints.
func NewCounter(registry prometheus.Registerer) *prometheus.CounterVec {
	counts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarshore_hints_total", Help: "Hints on heavy work by what became of them.",
	}, []string{"outcome"})
	registry.MustRegister(counts)
	return counts
}

// Open listens on the address and passes the hints that come to take. Errors:
// ErrListen.
func Open(address string, vms *members.List, take func(Hint), log *slog.Logger, counts *prometheus.CounterVec) (*Exchange, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, ErrListen.Wrap(err, "address %q", address)
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, ErrListen.Wrap(err, "address %q", address)
	}
	return &Exchange{conn: conn, vms: vms, out: ring.New[Hint](ringHints), take: take, log: log, counts: counts}, nil
}

// Address returns where hints are taken.
func (x *Exchange) Address() netip.AddrPort {
	return x.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Tell offers a hint to all other VMs; it never waits.
func (x *Exchange) Tell(h Hint) {
	if !x.out.Offer(h) {
		x.counts.WithLabelValues("ring_full").Inc()
	}
}

// Send sends hints until ctx ends.
func (x *Exchange) Send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-x.out.Items():
			x.send(h)
		}
	}
}

func (x *Exchange) send(h Hint) {
	text, err := json.Marshal(h)
	if err != nil {
		x.log.Error("hint can't be written", "error", err)
		return
	}
	for _, m := range x.vms.Others() {
		outcome := "sent"
		if _, err := x.conn.WriteToUDPAddrPort(text, m.Hints); err != nil {
			outcome = "send_failed"
		}
		x.counts.WithLabelValues(outcome).Inc()
	}
}

// Receive takes hints until ctx ends, and closes the exchange then.
func (x *Exchange) Receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, x.Close)
	defer stop()
	buf := make([]byte, maxHintBytes)
	for {
		n, _, err := x.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var h Hint
		if err := json.Unmarshal(buf[:n], &h); err != nil {
			x.counts.WithLabelValues("unreadable").Inc()
			continue
		}
		x.counts.WithLabelValues("received").Inc()
		x.take(h)
	}
}

// Close ends the exchange.
func (x *Exchange) Close() { _ = x.conn.Close() }
