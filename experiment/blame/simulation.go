package blame

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/hints"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

const (
	tick     = 10 * time.Millisecond
	duration = 45 * time.Second
	// culpritsFrom is when requests that crash upstreams begin to come.
	culpritsFrom = 8 * time.Second
	// downTime is the time from the end of an upstream to the start of its successor.
	downTime = 3500 * time.Millisecond
	// crashAfter is the time from the begin of a run to the end of its upstream, meanWait the
	// mean time that a request waits before it runs, and meanRun that of a run.
	crashAfter = 80 * time.Millisecond
	meanWait   = 80 * time.Millisecond
	meanRun    = 700 * time.Millisecond
	// messageDelay is the longest delay of a message.
	messageDelay = 50 * time.Millisecond
	cutTime      = 5 * time.Second
	// tableDelay is the time until a change of the table is known to all VMs.
	tableDelay = time.Second
	// clientRetryDelay is the time after which a client repeats a request that failed.
	clientRetryDelay = 300 * time.Millisecond
	// maxSends bounds the attempts of an exchange, and maxLost those that end with their
	// upstream.
	maxSends, maxLost = 3, 2
	// weakShare is the fraction of answers that the cascade drops, 0 to 1.
	weakShare = 0.25
	// contact is the time after the crash that makes a culprit known from which arrivals count
	// as late. A part is known at the fifth crash, a whole request at the third.
	contact                   = 4 * time.Second
	partKnownAt, requestKnown = 5, 3
	// smallFleet is the number of VMs up to which each sends its evidence to all others, and
	// regions the number of regions of the VMs.
	smallFleet, regions = 32, 3
)

// culprit is what crashes upstreams.
type culprit struct {
	key     quarantine.Key
	part    string
	path    string
	known   int
	crashes []time.Duration
	late    int
}

// request is one exchange of a client.
type request struct {
	vm      int
	keys    []quarantine.Key
	culprit *culprit
	sends   int
	lost    int
	retries int
	plain   bool
}

// run is an attempt on an engine.
type run struct {
	*request
	attempt *quarantines.Attempt
	beginAt time.Duration
	endAt   time.Duration
	begun   bool
	weak    bool
}

// engine is one life of an upstream.
type engine struct {
	of   quarantine.Incarnation
	runs []*run
	// upAt is when it is up; crashAt is when it ends, zero while it is not known to.
	upAt, crashAt time.Duration
}

// pending is something that happens at a time.
type pending struct {
	at time.Duration
	do func()
}

// simulation is one run of a scenario under a rule.
type simulation struct {
	Scenario
	rule     Rule
	rand     *rand.Rand
	clock    *clockwork.FakeClock
	now      time.Duration
	digester *quarantine.Digester
	table    *table
	guards   []*quarantines.Guard
	members  map[vm.ID]members.Member
	// cutUntil is until when each VM is cut off, and startedAt when it started.
	cutUntil, startedAt []time.Duration
	// behind holds which VMs don't know the newest row of the table.
	behind   []bool
	engines  []*engine
	culprits []*culprit
	events   []pending
	ids      int

	sound, keptOut, ends int
}

// Now implements quarantines.Clock.
func (s *simulation) Now() (time.Duration, bool) { return time.Hour + s.now, true }

func newSimulation(scenario Scenario, rule Rule, seed uint64) *simulation {
	s := &simulation{
		Scenario: scenario, rule: rule, rand: rand.New(rand.NewPCG(seed, 17)), clock: clockwork.NewFakeClock(),
		digester: quarantine.NewDigester("experiment"), table: &table{}, members: newMembers(scenario.VMs), cutUntil: make([]time.Duration, scenario.VMs),
		startedAt: make([]time.Duration, scenario.VMs), behind: make([]bool, scenario.VMs),
	}
	for i := range s.VMs {
		s.guards = append(s.guards, s.newGuard(i))
	}
	for range s.Engines {
		s.engines = append(s.engines, s.newEngine())
	}
	for i := range s.Parts {
		part := fmt.Sprint("culprit ", i)
		s.culprits = append(s.culprits, &culprit{key: s.digester.Part(part), part: part, known: partKnownAt})
	}
	for i := range s.Requests {
		path := fmt.Sprint("/culprit/", i)
		s.culprits = append(s.culprits, &culprit{key: s.requestKey(path), path: path, known: requestKnown})
	}
	return s
}

func (s *simulation) requestKey(path string) quarantine.Key {
	return s.digester.Request(quarantine.Request{Method: "POST", Target: path})
}

func (s *simulation) newEngine() *engine {
	s.ids++
	return &engine{of: quarantine.Incarnation{Upstream: upstream.ID(fmt.Sprint("e-", s.ids))}, upAt: s.now}
}

func (s *simulation) newGuard(index int) *quarantines.Guard {
	g := quarantines.New(quarantines.Options{
		VM: vmID(index), Table: "t", Blame: quarantine.DefaultOptions(), SharedClock: s, Writer: s.table,
		Broadcast: func(m quarantines.Message) { s.announce(index, m) },
		Report: func(m quarantines.Message) {
			m.ForAll = true
			s.announce(index, m)
		},
		Rank: func() (int, int) { return index, s.VMs }, Clock: s.clock,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Registry: prometheus.NewRegistry(),
	})
	if s.rule == Shared {
		g.Replace(s.table.listing())
	}
	return g
}

// announce sends a message to the VMs that get it from this one, in a fixed order, as each draws
// from the same random numbers.
func (s *simulation) announce(from int, m quarantines.Message) {
	others := maps.Clone(s.members)
	delete(others, vmID(from))
	router := hints.EvidenceRouter{Region: domain.Region(s.members[vmID(from)].Domain), RegionOf: regionOf}
	deliveries := router.Route(others, m)
	slices.SortFunc(deliveries, func(a, b hints.EvidenceDelivery) int { return cmp.Compare(a.To.Hints.Port(), b.To.Hints.Port()) })
	for _, d := range deliveries {
		s.sendMessage(from, int(d.To.Hints.Port()), d.Message)
	}
}

// newMembers returns the list of the VMs, over several regions. The port of a VM is its index.
func newMembers(vms int) map[vm.ID]members.Member {
	all := make(map[vm.ID]members.Member)
	for i := range vms {
		all[vmID(i)] = members.Member{
			ID: vmID(i), Domain: domain.ID(fmt.Sprint("d-", i%regions)), PassesEvidence: true,
			Hints: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)),
		}
	}
	return all
}

func vmID(index int) vm.ID { return vm.ID(fmt.Sprint("vm-", index)) }

func regionOf(d domain.ID) domain.Region { return domain.Region(d) }

// sendMessage sends a message between two VMs, unless it is lost.
func (s *simulation) sendMessage(from, to int, m quarantines.Message) {
	isCut := s.cutUntil[from] > s.now || s.cutUntil[to] > s.now
	if from == to || s.rule != Shared || isCut || s.rand.Float64() < s.Loss {
		return
	}
	delay := time.Duration(s.rand.Int64N(int64(messageDelay)))
	s.after(delay, func() {
		if m.Spread.Groups > 0 {
			s.announce(to, m)
		}
		s.guards[to].Receive(m)
	})
}

func (s *simulation) after(d time.Duration, do func()) {
	s.events = append(s.events, pending{at: s.now + d, do: do})
}

// simulate runs the simulation to its end.
func (s *simulation) simulate() {
	for s.now < duration {
		s.now += tick
		s.clock.Advance(tick)
		s.handleEvents()
		s.disturb()
		s.arrive()
		s.advanceEngines()
		if s.rule != None {
			s.stepGuards()
		}
	}
}

func (s *simulation) handleEvents() {
	var due []pending
	s.events = slices.DeleteFunc(s.events, func(p pending) bool {
		if p.at <= s.now {
			due = append(due, p)
		}
		return p.at <= s.now
	})
	for _, p := range due {
		p.do()
	}
}

// stepGuards lets the guards work every other tick, as they do.
func (s *simulation) stepGuards() {
	if s.now/tick%2 != 0 {
		return
	}
	for i, g := range s.guards {
		g.Step()
		if s.rule == Shared && s.now/tick%10 == 0 && s.cutUntil[i] <= s.now {
			g.Sync(context.Background())
		}
	}
	if s.table.takeChange() {
		for i := range s.behind {
			s.behind[i] = true
		}
	}
	for i, behind := range s.behind {
		if behind && s.cutUntil[i] <= s.now {
			s.behind[i] = false
			s.after(tableDelay, func() { s.guards[i].Change(s.table.listing()) })
		}
	}
}

// every reports whether a periodic event is due at this tick.
func (s *simulation) every(interval time.Duration) bool {
	return interval > 0 && s.now%interval < tick
}

// disturb brings about what is wrong beside the culprits.
func (s *simulation) disturb() {
	if slices.Contains(s.MassEnds, s.now) {
		for _, e := range s.engines[:len(s.engines)/2] {
			s.end(e)
		}
	}
	if s.every(s.EndInterval) {
		s.end(s.engines[s.rand.IntN(len(s.engines))])
	}
	if s.every(s.ReplaceInterval) {
		i := s.rand.IntN(s.VMs)
		s.guards[i], s.startedAt[i] = s.newGuard(i), s.now
		for _, e := range s.engines {
			e.runs = slices.DeleteFunc(e.runs, func(r *run) bool { return r.vm == i })
		}
	}
	if s.every(s.CutInterval) {
		s.cutUntil[s.rand.IntN(s.VMs)] = s.now + cutTime
	}
}

// arrive draws the requests of one tick.
func (s *simulation) arrive() {
	if s.rand.Float64() < s.Rate*tick.Seconds() {
		s.sound++
		s.send(s.newRequest(nil))
	}
	for _, c := range s.culprits {
		if s.now >= culpritsFrom && s.rand.Float64() < s.CulpritRate*tick.Seconds() {
			s.send(s.newRequest(c))
		}
	}
}

// newRequest draws a request: two parts that many share, one that few share, its own path,
// and what makes it crash upstreams.
func (s *simulation) newRequest(c *culprit) *request {
	s.ids++
	r := &request{vm: s.pickVM(), culprit: c, plain: s.Plain}
	path := fmt.Sprint("/", s.ids)
	if c != nil && c.path != "" {
		path = c.path
	}
	if !s.Plain {
		parts := []string{fmt.Sprint("route ", s.rand.IntN(3)), fmt.Sprint("caller ", s.rand.IntN(10)), fmt.Sprint("subject ", s.rand.IntN(60))}
		if c != nil && c.path != "" {
			parts = []string{"route 0", "caller 0", "subject 0"}
		}
		if c != nil && c.part != "" {
			parts = slices.Insert(parts, s.rand.IntN(len(parts)+1), c.part)
		}
		for _, p := range parts {
			r.keys = append(r.keys, s.digester.Part(p))
		}
	}
	r.keys = append(r.keys, s.requestKey(path))
	return r
}

// pickVM draws a VM; the load is uneven.
func (s *simulation) pickVM() int {
	u := s.rand.Float64()
	return int(u * u * float64(s.VMs))
}

// send makes the next attempt of a request, unless it is kept out or nothing is up.
func (s *simulation) send(r *request) {
	if s.rule != None {
		if _, excluded := s.guards[r.vm].Check(r.keys); excluded {
			if r.culprit == nil {
				s.keptOut++
			}
			return
		}
	}
	var up []*engine
	for _, e := range s.engines {
		if e.upAt <= s.now {
			up = append(up, e)
		}
	}
	if len(up) == 0 || r.sends >= maxSends {
		return
	}
	r.sends++
	if c := r.culprit; c != nil && s.isInTouch(r.vm) && len(c.crashes) >= c.known && s.now > c.crashes[c.known-1]+contact {
		c.late++
	}
	e := up[s.rand.IntN(len(up))]
	a := &run{request: r, attempt: s.guards[r.vm].Begin(e.of, r.keys), weak: !s.Plain && s.rand.Float64() < weakShare && r.sends == 1}
	if s.Plain {
		a.attempt.AssumeRunning()
	}
	a.beginAt = s.now + time.Duration(s.rand.ExpFloat64()*float64(meanWait))
	a.endAt = a.beginAt + time.Duration(s.rand.ExpFloat64()*float64(meanRun))
	e.runs = append(e.runs, a)
}

// isInTouch reports whether a VM ran and was not cut off for long enough to be counted.
func (s *simulation) isInTouch(vm int) bool {
	return s.now >= s.cutUntil[vm]+contact && (s.startedAt[vm] == 0 || s.now >= s.startedAt[vm]+contact)
}

// advanceEngines begins and ends runs, and ends the engines that a run crashes.
func (s *simulation) advanceEngines() {
	for i := range s.engines {
		e := s.engines[i]
		for _, r := range slices.Clone(e.runs) {
			s.advanceRun(e, r)
		}
		if e.crashAt > 0 && e.crashAt <= s.now {
			s.end(e)
		}
	}
}

func (s *simulation) advanceRun(e *engine, r *run) {
	switch {
	case !r.begun && s.now >= r.beginAt:
		r.begun = true
		// A whole request crashes its upstream before the answer begins.
		if r.culprit == nil || r.culprit.part != "" {
			r.attempt.BeginAnswer()
		}
		if r.culprit != nil && e.crashAt == 0 {
			e.crashAt = s.now + crashAfter
			r.culprit.crashes = append(r.culprit.crashes, e.crashAt)
		}
		if r.weak && (r.culprit == nil || r.culprit.part != "") {
			r.attempt.End(quarantines.Abandoned)
			s.remove(e, r)
			s.send(r.request)
		}
	case r.begun && r.culprit == nil && s.now >= r.endAt && s.rand.Float64() < s.ResetShare:
		s.lose(e, r)
	case r.begun && r.culprit == nil && s.now >= r.endAt:
		r.attempt.End(quarantines.Answered)
		s.remove(e, r)
	case r.begun && r.culprit == nil:
		r.attempt.RecordEvent()
	}
}

func (s *simulation) remove(e *engine, r *run) {
	e.runs = slices.DeleteFunc(e.runs, func(o *run) bool { return o == r })
}

// end ends an engine with all that runs there. Its requests are tried again, and then
// repeated by their clients at another VM.
func (s *simulation) end(e *engine) {
	if e.upAt > s.now {
		return
	}
	s.ends++
	lost := e.runs
	*e = *s.newEngine()
	e.upAt = s.now + downTime
	for _, r := range lost {
		s.retry(r)
	}
}

// lose ends a run with its connection, while its engine goes on.
func (s *simulation) lose(e *engine, r *run) {
	s.remove(e, r)
	s.retry(r)
}

// retry sends the request of a run that was lost again, or lets its client do so.
func (s *simulation) retry(r *run) {
	r.attempt.End(quarantines.Lost)
	r.lost++
	if r.lost < maxLost {
		s.after(tick, func() { s.send(r.request) })
		return
	}
	if r.retries == 0 {
		repeat := &request{vm: s.pickVM(), keys: r.keys, culprit: r.culprit, retries: 1, plain: r.plain}
		s.after(clientRetryDelay, func() { s.send(repeat) })
	}
}
