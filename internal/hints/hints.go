// Package hints tells the other VMs of heavy work that this VM has just sent to
// an upstream, so that they send theirs elsewhere. An upstream's own reports
// come with its answers, and none come while it reads a long prompt.
//
// Hints are datagrams: one that is lost costs a worse choice and nothing else.
// The VMs find one another by rows in the platform's store.
package hints

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/internal/ring"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
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
	// rowPrefix begins the keys of the VMs' rows.
	rowPrefix = "vm/"
	// ringHints is the number of hints that wait to be sent at most.
	ringHints = 256
	// maxHintBytes bounds a datagram.
	maxHintBytes = 512
	// announceAgain is the pause after a failure to write the VM's row.
	announceAgain = time.Second
)

// vmRow tells where a VM takes hints.
type vmRow struct {
	Address string `json:"address"`
}

// Exchange sends and receives hints.
type Exchange struct {
	self   vm.ID
	conn   *net.UDPConn
	peers  atomic.Pointer[map[vm.ID]netip.AddrPort]
	out    *ring.Ring[Hint]
	take   func(Hint)
	log    *slog.Logger
	counts *prometheus.CounterVec
}

// Open listens on the address and passes the hints that come to take. Errors:
// ErrListen.
func Open(self vm.ID, address string, take func(Hint), log *slog.Logger, registry prometheus.Registerer) (*Exchange, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, ErrListen.Wrap(err, "address %q", address)
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, ErrListen.Wrap(err, "address %q", address)
	}
	x := &Exchange{self: self, conn: conn, out: ring.New[Hint](ringHints), take: take, log: log,
		counts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_hints_total", Help: "Hints on heavy work by what became of them.",
		}, []string{"outcome"}),
	}
	x.peers.Store(&map[vm.ID]netip.AddrPort{})
	registry.MustRegister(x.counts)
	return x, nil
}

// Row returns the row by which other VMs find this one.
func (x *Exchange) Row(table string) (watch.Put, error) {
	value, err := json.Marshal(vmRow{Address: x.conn.LocalAddr().String()})
	return watch.Put{Table: table, Key: rowPrefix + string(x.self), Value: value}, err
}

// Announce writes the VM's row, again and again until it stands.
func (x *Exchange) Announce(ctx context.Context, table string, writer watch.Writer) {
	put, err := x.Row(table)
	if err != nil {
		x.log.Error("VM can't be announced", "error", err)
		return
	}
	for ctx.Err() == nil {
		err := writer.Commit(ctx, watch.Change{Puts: []watch.Put{put}})
		if err == nil {
			break
		}
		x.log.Warn("VM not announced yet", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(announceAgain):
		}
	}
	<-ctx.Done()
}

// Rows takes in changed rows of the table.
func (x *Exchange) Rows(rows []watch.Row) {
	next := make(map[vm.ID]netip.AddrPort, len(*x.peers.Load()))
	for id, at := range *x.peers.Load() {
		next[id] = at
	}
	for _, r := range rows {
		name, ok := strings.CutPrefix(r.Key, rowPrefix)
		if !ok || vm.ID(name) == x.self {
			continue
		}
		delete(next, vm.ID(name))
		if r.Deleted {
			continue
		}
		var row vmRow
		err := json.Unmarshal(r.Value, &row)
		at, addrErr := netip.ParseAddrPort(row.Address)
		if err != nil || addrErr != nil {
			x.log.Warn("VM's row unreadable", "key", r.Key, "error", err, "address", row.Address)
			continue
		}
		next[vm.ID(name)] = at
	}
	x.peers.Store(&next)
}

// Peers returns the number of other VMs that are known.
func (x *Exchange) Peers() int { return len(*x.peers.Load()) }

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
	for _, at := range *x.peers.Load() {
		outcome := "sent"
		if _, err := x.conn.WriteToUDPAddrPort(text, at); err != nil {
			outcome = "send_failed"
		}
		x.counts.WithLabelValues(outcome).Inc()
	}
}

// Receive takes hints until the exchange is closed.
func (x *Exchange) Receive(context.Context) {
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
