package hints

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

// The load on whose faults evidence saturated the links of VMs: three regions, 365 requests a
// second with a part that all share and one that some 500 subjects have, half of 60 upstreams
// that reset a part of their answers for 4 s, and later four of them.
const (
	loadTick       = 10 * time.Millisecond
	loadUpstreams  = 60
	loadRate       = 365
	loadSubjects   = 500
	loadResetShare = 0.3
	loadMeanRun    = 1500 * time.Millisecond
	loadCrashAfter = 80 * time.Millisecond
	loadDownTime   = 3500 * time.Millisecond
	// loadCulpritFrom is when requests with a part that crashes upstreams begin to come.
	loadCulpritFrom = 14 * time.Second
	loadDuration    = 20 * time.Second
)

// loadRun is an attempt at an upstream.
type loadRun struct {
	attempt           *quarantines.Attempt
	beginAt, endAt    time.Duration
	begun, bad, reset bool
}

// loadEngine is one life of an upstream.
type loadEngine struct {
	of            quarantine.Incarnation
	runs          []*loadRun
	upAt, crashAt time.Duration
}

type loadDelivery struct {
	at time.Duration
	to int
	m  quarantines.Message
}

// loadFleet is a fleet of guards that exchange their messages in memory, as an Exchange sends
// them.
type loadFleet struct {
	rand     *rand.Rand
	clock    *clockwork.FakeClock
	now      time.Duration
	members  []members.Member
	others   []map[vm.ID]members.Member
	guards   []*quarantines.Guard
	engines  []*loadEngine
	digester *quarantine.Digester
	onWay    []loadDelivery
	lives    int64
	crashes  int
	// sent holds the bytes that each VM sent in each second, byKind those of each kind of
	// message.
	sent     [][]int
	byKind   map[string]int
	received []int
	// budgets are the queues of evidence of the VMs.
	budgets []*evidenceQueue
	dropped int
}

// Now implements quarantines.Clock.
func (f *loadFleet) Now() (time.Duration, bool) { return time.Hour + f.now, true }

func newLoadFleet(vms int) *loadFleet {
	f := &loadFleet{
		rand: rand.New(rand.NewPCG(1, 2)), clock: clockwork.NewFakeClock(), digester: quarantine.NewDigester("secret"),
		byKind: make(map[string]int), received: make([]int, vms),
	}
	for i := range vms {
		f.members = append(f.members, members.Member{ID: vm.ID(fmt.Sprint("vm-", i)), Domain: domain.ID(fmt.Sprint("d", i%3)), PassesEvidence: true,
			Hints: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))})
		f.budgets = append(f.budgets, newEvidenceQueue())
		f.sent = append(f.sent, make([]int, int(loadDuration/time.Second)+1))
	}
	for i := range vms {
		others := make(map[vm.ID]members.Member)
		for j, m := range f.members {
			if j != i {
				others[m.ID] = m
			}
		}
		f.others = append(f.others, others)
		f.guards = append(f.guards, f.newGuard(i))
	}
	for i := range loadUpstreams {
		f.engines = append(f.engines, &loadEngine{of: quarantine.Incarnation{Upstream: upstream.ID(fmt.Sprint("i-0123456789", i)), Born: 1775838447165}})
	}
	return f
}

func (f *loadFleet) newGuard(i int) *quarantines.Guard {
	return quarantines.New(quarantines.Options{
		VM: f.members[i].ID, Table: "t", Blame: quarantine.DefaultOptions(), SharedClock: f,
		Report: func(m quarantines.Message) {
			m.ForAll = true
			f.announce(i, m)
		},
		Broadcast: func(m quarantines.Message) { f.announce(i, m) },
		Rank:      func() (int, int) { return i, len(f.guards) }, Clock: f.clock,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Registry: prometheus.NewRegistry(),
	})
}

func (f *loadFleet) announce(from int, m quarantines.Message) {
	router := EvidenceRouter{Region: regionOf(f.members[from].Domain), RegionOf: regionOf}
	for _, d := range router.Route(f.others[from], m) {
		payload, _ := json.Marshal(Hint{Quarantine: &d.Message})
		f.budgets[from].add(d.Message.Priority(), payload, d.To.Hints, f.clock.Now())
	}
}

// transmit sends the datagrams that a VM's budget allows.
func (f *loadFleet) transmit(from int) {
	for {
		d, _, ok := f.budgets[from].next(f.clock.Now())
		dropped, _ := f.budgets[from].takeDropped(f.clock.Now())
		f.dropped += dropped
		if !ok {
			return
		}
		var h Hint
		_ = json.Unmarshal(d.payload, &h)
		bytes, to := len(d.payload)+datagramOverheadBytes, int(d.to.Port())
		f.sent[from][int(f.now/time.Second)] += bytes
		f.received[to] += bytes
		f.byKind[messageKind(*h.Quarantine)] += bytes
		delay := time.Millisecond
		if f.members[from].Domain != f.members[to].Domain {
			delay = 30 * time.Millisecond
		}
		f.onWay = append(f.onWay, loadDelivery{at: f.now + delay, to: to, m: *h.Quarantine})
	}
}

// receive gives a VM a message, and passes it on if it is for a group.
func (f *loadFleet) receive(to int, m quarantines.Message) {
	if m.Spread.Groups > 0 {
		f.announce(to, m)
	}
	f.guards[to].Receive(m)
}

func messageKind(m quarantines.Message) string {
	way := "passed on"
	if m.Spread != (quarantines.Spread{}) {
		way = "reported"
	}
	switch {
	case len(m.Entries) > 0:
		return "entries"
	case len(m.Crashes) > 0:
		return "crashes " + way
	case len(m.Sound) > 0 && len(m.Alive) > 0:
		return "alive and sound " + way
	case len(m.Sound) > 0:
		return "sound " + way
	}
	return "alive " + way
}

func (f *loadFleet) run() {
	for f.now < loadDuration {
		f.now += loadTick
		f.clock.Advance(loadTick)
		var due []loadDelivery
		f.onWay = slices.DeleteFunc(f.onWay, func(d loadDelivery) bool {
			if d.at <= f.now {
				due = append(due, d)
			}
			return d.at <= f.now
		})
		for _, d := range due {
			f.receive(d.to, d.m)
		}
		f.arrive()
		for i := range f.engines {
			f.advance(i)
		}
		if f.now%(2*loadTick) == 0 {
			for _, g := range f.guards {
				g.Step()
			}
		}
		for i := range f.guards {
			f.transmit(i)
		}
	}
}

func (f *loadFleet) culprit() quarantine.Key { return f.digester.Part("culprit") }

func (f *loadFleet) arrive() {
	n := loadRate * loadTick.Seconds()
	count := int(n)
	if f.rand.Float64() < n-float64(count) {
		count++
	}
	for range count {
		f.send(false)
	}
	if f.now >= loadCulpritFrom && f.rand.Float64() < 3*loadTick.Seconds() {
		f.send(true)
	}
}

func (f *loadFleet) send(bad bool) {
	u := f.rand.Float64()
	g := f.guards[int(u*u*float64(len(f.guards)))]
	keys := []quarantine.Key{
		f.digester.Part("common"), f.digester.Part(fmt.Sprint("subject ", f.rand.IntN(loadSubjects))),
	}
	if bad {
		keys = append(keys, f.culprit())
	}
	f.lives++
	keys = append(keys, f.digester.Request(quarantine.Request{Target: fmt.Sprint(f.lives)}))
	if _, excluded := g.Check(keys); excluded {
		return
	}
	index := f.rand.IntN(len(f.engines))
	e := f.engines[index]
	if e.upAt > f.now {
		return
	}
	r := &loadRun{attempt: g.Begin(e.of, keys), bad: bad}
	r.beginAt = f.now + time.Duration(f.rand.ExpFloat64()*float64(100*time.Millisecond))
	r.endAt = r.beginAt + time.Duration(f.rand.ExpFloat64()*float64(loadMeanRun))
	e.runs = append(e.runs, r)
}

// isResetting reports whether an upstream resets a part of its answers now.
func (f *loadFleet) isResetting(index int) bool {
	return index < loadUpstreams/2 && f.now >= 2*time.Second && f.now < 6*time.Second ||
		index < 4 && f.now >= 8*time.Second && f.now < 12*time.Second
}

func (f *loadFleet) advance(index int) {
	e := f.engines[index]
	for _, r := range slices.Clone(e.runs) {
		switch {
		case !r.begun && f.now >= r.beginAt:
			r.begun = true
			r.reset = f.isResetting(index) && f.rand.Float64() < loadResetShare
			if r.reset {
				r.endAt = r.beginAt + time.Duration(f.rand.Float64()*float64(r.endAt-r.beginAt))
			}
			r.attempt.BeginAnswer()
			if r.bad && e.crashAt == 0 {
				e.crashAt = f.now + loadCrashAfter
			}
		case r.begun && f.now >= r.endAt && !r.bad:
			outcome := quarantines.Answered
			if r.reset {
				outcome = quarantines.Lost
			}
			r.attempt.End(outcome)
			e.runs = slices.DeleteFunc(e.runs, func(o *loadRun) bool { return o == r })
		case r.begun:
			r.attempt.RecordEvent()
		}
	}
	if e.crashAt > 0 && e.crashAt <= f.now {
		f.crashes++
		for _, r := range e.runs {
			r.attempt.End(quarantines.Lost)
		}
		f.lives++
		f.engines[index] = &loadEngine{of: quarantine.Incarnation{Upstream: e.of.Upstream, Born: e.of.Born + f.lives}, upAt: f.now + loadDownTime}
	}
}

// report returns the bytes sent in all, and the most that a VM sent in a second.
func (f *loadFleet) report() (all, peak, mostOfVM int) {
	for _, seconds := range f.sent {
		sum := 0
		for _, n := range seconds {
			sum += n
			peak = max(peak, n)
		}
		all += sum
		mostOfVM = max(mostOfVM, sum)
	}
	return all, peak, mostOfVM
}

// TestEvidenceStaysWithinBudgetAndFindsCulprit guards against evidence that fills the links of
// VMs while upstreams reset connections. Before evidence was bounded, this load took 180 MB
// with 75 VMs and 762 MB with 300, and one VM sent up to 37 MB in a second.
func TestEvidenceStaysWithinBudgetAndFindsCulprit(t *testing.T) {
	for vms, before := range map[int]int{75: 180_235_336, 300: 761_652_310} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			g := NewWithT(t)
			f := newLoadFleet(vms)
			f.run()
			all, peak, most := f.report()
			t.Log("bytes of all", all, "most of a VM in a second", peak, "most sent", most, "most received", slices.Max(f.received),
				"dropped", f.dropped, "crashes", f.crashes, "by kind", f.byKind)
			g.Expect(peak).To(BeNumerically("<=", 32<<10))
			g.Expect(all).To(BeNumerically("<", before/12))
			g.Expect(f.crashes).To(BeNumerically("<=", 5))
			for i, guard := range f.guards {
				_, excluded := guard.Check([]quarantine.Key{f.culprit()})
				g.Expect(excluded).To(BeTrue(), "VM %d", i)
				_, excluded = guard.Check([]quarantine.Key{f.digester.Part("common")})
				g.Expect(excluded).To(BeFalse(), "VM %d", i)
			}
		})
	}
}
