package peerfeed_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/peerfeed"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/vm"
)

const (
	// boundTable is the table that the VMs of a timedFleet follow.
	boundTable = "t"
	// changeBound is the time within which each change must reach all VMs.
	changeBound = 4 * time.Second
	// storeSlack is how much longer than its wait a read that the store does not answer takes.
	storeSlack = time.Second
	// storeRoundTrip, pollRoundTrip and dialTime are the latencies of answers of the store and of VMs, and of opening a
	// connection to a VM.
	storeRoundTrip, pollRoundTrip, dialTime = 60 * time.Millisecond, 30 * time.Millisecond, time.Millisecond
	// regionCount is the number of regions, over which the VMs are spread evenly.
	regionCount = 3
	// unusedConns is the number of unused connections to the store that openConnections leaves to each VM.
	unusedConns = 3
	// settle is the time in which the VMs find their readers.
	settle = 20 * time.Second
)

// realClock is the clock of the synctest bubble that it is used in.
var realClock = clockwork.NewRealClock()

// timedStore is a store whose long polls take their time. It is silent to some VMs.
type timedStore struct {
	mu      sync.Mutex
	at      watch.Revision
	changed chan struct{}
	silent  map[vm.ID]bool
	reads   map[vm.ID]int
	// losses counts how often all open connections were lost.
	losses int
	// unused holds the unused connections of each VM: the number of losses when each was opened.
	unused map[vm.ID][]int
	// goneBefore is the revision before which changes are not known.
	goneBefore watch.Revision
}

// loseConnections makes the store answer none of the reads over connections that are open now.
func (s *timedStore) loseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses++
}

// connect returns an unused connection of a VM, the one used last, or a new one, and whether it was used before.
func (s *timedStore) connect(id vm.ID) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads[id]++
	unused := s.unused[id]
	if len(unused) == 0 {
		return s.losses, false
	}
	s.unused[id] = unused[:len(unused)-1]
	return unused[len(unused)-1], true
}

// keep keeps a connection for later reads of a VM.
func (s *timedStore) keep(id vm.ID, conn int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unused[id] = append(s.unused[id], conn)
}

// dropHistory makes all VMs list the table again, after a change of another table.
func (s *timedStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	s.goneBefore = s.at
	close(s.changed)
	s.changed = make(chan struct{})
}

// isGone reports whether the changes after a revision are not known.
func (s *timedStore) isGone(after watch.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return after < s.goneBefore
}

// readCount returns the number of reads.
func (s *timedStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.reads {
		sum += n
	}
	return sum
}

// put makes a change and returns its revision.
func (s *timedStore) put() watch.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.at
}

func (s *timedStore) state() (watch.Revision, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at, s.changed
}

// timedView is the store as one VM reads it. It implements watch.Source.
type timedView struct {
	*timedStore
	vm *timedVM
}

func (v timedView) List(ctx context.Context, table string) (watch.Batch, error) {
	return v.read(ctx, watch.Cursor{}, 0)
}

func (v timedView) Changes(ctx context.Context, _ string, after watch.Cursor, wait time.Duration) (watch.Batch, error) {
	b, err := v.read(ctx, after, wait)
	if err == nil && v.isGone(after.Revision) {
		return watch.Batch{}, watch.ErrHistoryGone.New("changes after revision %d are gone", after.Revision)
	}
	return b, err
}

// CloseIdleConnections closes the VM's unused connections.
func (v timedView) CloseIdleConnections(string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.unused, v.vm.id)
}

// read reads the changes after a position over a connection of the VM, which is closed if the read fails.
func (v timedView) read(ctx context.Context, after watch.Cursor, wait time.Duration) (watch.Batch, error) {
	conn, reused := v.connect(v.vm.id)
	isLost := func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.silent[v.vm.id] || v.losses > conn
	}
	lost := time.After(wait + storeSlack)
	waited := time.After(wait)
	for answered := false; ; {
		at, changed := v.state()
		if answered = answered || at > after.Revision || v.isGone(after.Revision); answered && !isLost() {
			realClock.Sleep(storeRoundTrip)
			v.keep(v.vm.id, conn)
			return v.batch(at, after), nil
		}
		select {
		case <-changed:
		case <-waited:
			answered, waited = true, nil
		case <-lost:
			return watch.Batch{}, noAnswer(reused || wait > 0).New("no answer to %s", v.vm.id)
		case <-ctx.Done():
			return watch.Batch{}, noAnswer(reused || wait > 0).Wrap(ctx.Err(), "read of %s ended", v.vm.id)
		}
		if isLost() {
			select {
			case <-lost:
				return watch.Batch{}, noAnswer(reused || wait > 0).New("no answer to %s", v.vm.id)
			case <-ctx.Done():
				return watch.Batch{}, noAnswer(reused || wait > 0).Wrap(ctx.Err(), "read of %s ended", v.vm.id)
			}
		}
	}
}

// noAnswer returns the type of the error of a read without an answer.
func noAnswer(mayBeLost bool) *errorx.Type {
	if mayBeLost {
		return store.ErrConnectionLost
	}
	return store.ErrUnavailable
}

func (v timedView) batch(at watch.Revision, after watch.Cursor) watch.Batch {
	b := watch.Batch{At: at}
	if at > after.Revision {
		b.Rows = []watch.Row{{Key: "config", Revision: at}}
	}
	return b
}

// timedVM is a VM of a timedFleet. It implements watch.Sink and net.Listener.
type timedVM struct {
	id      vm.ID
	domain  domain.ID
	address netip.AddrPort
	list    *members.List
	feed    *peerfeed.Feed
	conns   chan net.Conn
	closed  chan struct{}
	stop    context.CancelFunc

	mu sync.Mutex
	// unpowered reports whether the VM has lost power: it neither answers nor polls.
	unpowered bool
	// seen holds the time at which each revision had effect on the VM.
	seen map[watch.Revision]time.Time
	last watch.Revision
}

func (m *timedVM) Accept() (net.Conn, error) {
	select {
	case c := <-m.conns:
		return c, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}

func (m *timedVM) Close() error {
	select {
	case <-m.closed:
	default:
		close(m.closed)
	}
	return nil
}

func (m *timedVM) Addr() net.Addr { return net.TCPAddrFromAddrPort(m.address) }

func (m *timedVM) Reset(b watch.Batch) { m.Change(b) }

func (m *timedVM) Change(b watch.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for ; m.last < b.At; m.last++ {
		m.seen[m.last+1] = time.Now()
	}
}

func (m *timedVM) StoreUnavailable(error)        {}
func (m *timedVM) StoreAvailable(o watch.Outage) {}

func (m *timedVM) isUnpowered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unpowered
}

// losePower makes the VM neither answer nor poll.
func (m *timedVM) losePower() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unpowered = true
	m.stop()
}

// ServeHTTP answers a poll of another VM, after the latency of the way there and back.
func (m *timedVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	realClock.Sleep(pollRoundTrip / 2)
	if !m.isUnpowered() {
		r.SetPathValue("table", boundTable)
		m.feed.ServeHTTP(answer, r)
	}
	if m.isUnpowered() {
		<-r.Context().Done()
		return
	}
	realClock.Sleep(pollRoundTrip / 2)
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// timedFleet is a number of VMs that follow a store on the clock of a synctest bubble.
type timedFleet struct {
	*WithT
	store *timedStore
	vms   []*timedVM
	by    map[string]*timedVM
	// connsMu guards conns, the connections between VMs.
	connsMu sync.Mutex
	conns   []*losableConn
}

// dial opens a connection to a VM. One without power does not answer.
func (f *timedFleet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	to := f.by[address]
	realClock.Sleep(dialTime)
	if to.isUnpowered() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	conn := &losableConn{Conn: client}
	select {
	case to.conns <- server:
		f.keep(conn)
		return conn, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// keep records a connection between VMs.
func (f *timedFleet) keep(conn *losableConn) {
	f.connsMu.Lock()
	defer f.connsMu.Unlock()
	f.conns = append(f.conns, conn)
}

// loseConnections loses all open connections to the store and between VMs. New ones work.
func (f *timedFleet) loseConnections() {
	f.store.loseConnections()
	f.connsMu.Lock()
	defer f.connsMu.Unlock()
	for _, conn := range f.conns {
		conn.lost.Store(true)
	}
	f.conns = nil
}

// losableConn is a connection that carries nothing any more once it has been lost, without an end.
type losableConn struct {
	net.Conn
	lost atomic.Bool
}

func (c *losableConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.lost.Load() {
			return n, err
		}
	}
}

func (c *losableConn) Write(b []byte) (int, error) {
	if c.lost.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// startTimedFleet starts VMs that know each other and follow the store. It must be called in a synctest bubble.
func startTimedFleet(t *testing.T, n int) *timedFleet {
	f := &timedFleet{WithT: NewWithT(t), by: make(map[string]*timedVM), store: &timedStore{
		at: 1, changed: make(chan struct{}), silent: make(map[vm.ID]bool), reads: make(map[vm.ID]int),
		unused: make(map[vm.ID][]int),
	}}
	// Requests that are being served end some time after their connections.
	t.Cleanup(func() { realClock.Sleep(settle) })
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var rows []watch.Row
	for i := range n {
		m := f.newVM(i, log)
		value, err := json.Marshal(members.Member{Domain: m.domain, Feed: m.address})
		f.Expect(err).NotTo(HaveOccurred())
		rows = append(rows, watch.Row{Key: members.Prefix + string(m.id), Value: value})
	}
	for _, m := range f.vms {
		m.list.Reset(watch.Batch{Rows: rows})
		f.run(t, m, log)
	}
	return f
}

func (f *timedFleet) newVM(i int, log *slog.Logger) *timedVM {
	m := &timedVM{
		id: vm.ID(fmt.Sprintf("vm-%03d", i)), domain: domain.ID(fmt.Sprintf("d%d", i%regionCount)),
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}), 8000),
		conns:   make(chan net.Conn), closed: make(chan struct{}), seen: make(map[watch.Revision]time.Time),
	}
	opts := peerfeed.OptionsWithin(changeBound)
	opts.VM, opts.Region, opts.RegionOf, opts.Dial = m.id, regionOf(m.domain), regionOf, f.dial
	m.list = members.NewList(m.id, "own", log)
	m.feed = peerfeed.New(opts, timedView{f.store, m}, m.list, realClock, log, prometheus.NewRegistry())
	f.vms, f.by[m.address.String()] = append(f.vms, m), m
	return m
}

// run serves the VM's copies and follows the table until the test ends.
func (f *timedFleet) run(t *testing.T, m *timedVM, log *slog.Logger) {
	server := &http.Server{Handler: m, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	ctx, cancel := context.WithCancel(t.Context())
	m.stop = cancel
	var done sync.WaitGroup
	done.Go(func() { _ = server.Serve(m) })
	done.Go(func() {
		watch.New(m.feed, boundTable, m, realClock, log, watch.DefaultOptions()).Run(ctx)
	})
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		m.feed.CloseIdleConnections()
		done.Wait()
	})
}

// readersFirst returns the VMs, those that read the store most first.
func (f *timedFleet) readersFirst() []*timedVM {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	ordered := slices.Clone(f.vms)
	slices.SortStableFunc(ordered, func(a, b *timedVM) int { return cmp.Compare(f.store.reads[b.id], f.store.reads[a.id]) })
	return ordered
}

// silence makes the store silent to a share of the VMs, readers first, or ends that.
func (f *timedFleet) silence(silent bool, share float64) {
	ordered := f.readersFirst()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for _, m := range ordered[:int(share*float64(len(ordered)))] {
		f.store.silent[m.id] = silent
	}
}

// expectInTime expects that each VM with power has seen a change within the bound.
func (f *timedFleet) expectInTime(rev watch.Revision, changedAt time.Time) {
	for _, m := range f.vms {
		if m.isUnpowered() {
			continue
		}
		m.mu.Lock()
		at, ok := m.seen[rev]
		m.mu.Unlock()
		f.Expect(ok).To(BeTrue(), "%s of %s has not seen change %d", m.id, m.domain, rev)
		f.Expect(at.Sub(changedAt)).To(BeNumerically("<=", changeBound), "%s of %s, change %d", m.id, m.domain, rev)
	}
}

// openConnections gives each VM unused connections to the store, as reads that ran beside each other leave them.
func (f *timedFleet) openConnections() {
	for _, m := range f.vms {
		var wait sync.WaitGroup
		for range unusedConns {
			wait.Go(func() { _, _ = timedView{f.store, m}.read(context.Background(), watch.Cursor{}, 0) })
		}
		wait.Wait()
	}
}
