package limit_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/refusal"
)

// surgeTick is the step of the model, and congestedPart the part of the running requests from
// which as many waiting ones are a sign of congestion.
const (
	surgeTick     = 10 * time.Millisecond
	congestedPart = 0.25
	maxTries      = 5
)

// requestKind is a kind of request of the simulated load. Service is how long an engine is
// occupied, prefill the part of it before the first event.
type requestKind struct {
	rank             int
	perSecond        float64
	tokens           float64
	target, deadline time.Duration
	prefill, service time.Duration
	value, late      float64
}

var requestKinds = []requestKind{
	{1, 91.9, 11992, 2 * time.Second, 20 * time.Second, 150 * time.Millisecond, 4 * time.Second, 4, 1.2},
	{0, 102, 826, 1500 * time.Millisecond, 15 * time.Second, 30 * time.Millisecond, 2500 * time.Millisecond, 2.3, 0.7},
	{2, 171, 2368, 1500 * time.Millisecond, 4 * time.Second, 40 * time.Millisecond, 700 * time.Millisecond, 0.35, 0.1},
}

// modelRequest is a request in the model.
type modelRequest struct {
	kind      *requestKind
	account   account.ID
	large     bool
	arrivedAt time.Duration
	endsAt    time.Duration
	vm        *modelVM
	admitted  time.Duration
	comebacks int
	number    int
	engine    int
}

// modelEngine has slots and a queue by rank that rejects what is too much.
type modelEngine struct {
	down             bool
	running, waiting []*modelRequest
}

type modelVM struct {
	admission *limit.WindowAdmission
	waiting   map[*limit.Waiter]*modelRequest
	// seen is the load of each engine by its latest report to this VM, and seenAt its time. sent
	// counts what the VM sent since.
	seen, sent []int
	seenAt     []time.Duration
	// delay is the smoothed time in the queues of engines, by rank.
	delay [3]time.Duration
}

type tallyKey struct {
	rank    int
	account account.ID
	large   bool
}

type modelTally struct {
	offered, served, inTime int
	value, offeredValue     float64
}

// surgeModel is a site of VMs and engines, with admission or with what relay does without it.
type surgeModel struct {
	vms      []*modelVM
	engines  []*modelEngine
	rand     *rand.Rand
	now      time.Duration
	admit    bool
	accounts int
	// load multiplies all arrivals, and hog those of the first account.
	load, hog          float64
	comingBack         map[time.Duration][]*modelRequest
	arrivals, rejected int
	requests           int
	// since is when the count of what is offered and served began.
	since   time.Duration
	tallies map[tallyKey]*modelTally
}

var modelHeadroom = []float64{0.5, 0.2, 0}

const (
	// modelLatePriority is by how much requests that are late already come after the others.
	modelLatePriority = 100

	modelSlots   = 24
	modelQueue   = 50
	modelEngines = 60
)

func newSurgeModel(vms int, admit bool, seed uint64) *surgeModel {
	m := &surgeModel{rand: rand.New(rand.NewPCG(seed, 1)), admit: admit, accounts: 6, load: 1, hog: 1,
		comingBack: map[time.Duration][]*modelRequest{}, tallies: map[tallyKey]*modelTally{}}
	for range modelEngines {
		m.engines = append(m.engines, &modelEngine{})
	}
	opts := limit.DefaultWindowAdmissionOptions()
	opts.Window.Share = func() float64 { return modelSlots * modelEngines / float64(vms) }
	for range vms {
		m.vms = append(m.vms, &modelVM{
			admission: limit.NewWindowAdmission(opts, m.rand.Float64),
			waiting:   map[*limit.Waiter]*modelRequest{}, seen: make([]int, modelEngines), sent: make([]int, modelEngines), seenAt: make([]time.Duration, modelEngines),
		})
	}
	return m
}

func (m *surgeModel) time() time.Time { return start.Add(m.now) }

func (m *surgeModel) tally(r *modelRequest) *modelTally {
	key := tallyKey{r.kind.rank, r.account, r.large}
	if m.tallies[key] == nil {
		m.tallies[key] = &modelTally{}
	}
	return m.tallies[key]
}

// busy returns the part of the slots of the engines that are up that run a request.
func (m *surgeModel) busy() float64 {
	running, slots := 0, 0
	for _, e := range m.engines {
		if !e.down {
			running, slots = running+len(e.running), slots+modelSlots
		}
	}
	return float64(running) / float64(slots)
}

// sum adds up the tallies for which match is true.
func (m *surgeModel) sum(match func(tallyKey) bool) (t modelTally) {
	for key, part := range m.tallies {
		if match(key) {
			t.offered, t.served, t.inTime = t.offered+part.offered, t.served+part.served, t.inTime+part.inTime
			t.value, t.offeredValue = t.value+part.value, t.offeredValue+part.offeredValue
		}
	}
	return t
}

// run plays the model for a time and returns what was offered and served meanwhile. Requests from
// before don't count.
func (m *surgeModel) run(span time.Duration) modelTally {
	clear(m.tallies)
	m.arrivals, m.rejected, m.since = 0, 0, m.now
	for end := m.now + span; m.now < end; m.now += surgeTick {
		m.step()
	}
	return m.sum(func(tallyKey) bool { return true })
}

func (m *surgeModel) step() {
	for _, e := range m.engines {
		m.stepEngine(e)
	}
	for i := range requestKinds {
		k := &requestKinds[i]
		for a := range m.accounts {
			rate := k.perSecond / float64(m.accounts) * m.load
			if a == 0 {
				rate *= m.hog
			}
			for n := m.poisson(rate * surgeTick.Seconds()); n > 0; n-- {
				r := &modelRequest{kind: k, account: account.ID(fmt.Sprint("a", a)), large: m.rand.Float64() < 0.1, arrivedAt: m.now, number: m.requests}
				m.requests++
				t := m.tally(r)
				t.offered++
				t.offeredValue += k.value
				m.arrive(r)
			}
		}
	}
	back := m.comingBack[m.now]
	delete(m.comingBack, m.now)
	for _, r := range back {
		m.arrive(r)
	}
	for _, v := range m.vms {
		for _, w := range v.inOrder() {
			r := v.waiting[w]
			if m.time().After(w.Deadline) && v.admission.Cancel(w) {
				delete(v.waiting, w)
				m.comeBack(r, v.admission.RetryAfter(w.Work))
			}
		}
		m.start(v)
	}
}

// inOrder returns the waiters of a VM in order of arrival, so that a seed decides all.
func (v *modelVM) inOrder() []*limit.Waiter {
	return slices.SortedFunc(maps.Keys(v.waiting), func(a, b *limit.Waiter) int { return v.waiting[a].number - v.waiting[b].number })
}

func (m *surgeModel) poisson(mean float64) (n int) {
	for p := m.rand.Float64(); p > math.Exp(-mean); p *= m.rand.Float64() {
		n++
	}
	return n
}

// comeBack makes a refused caller return, up to twice, within its deadline.
func (m *surgeModel) comeBack(r *modelRequest, after time.Duration) {
	left := r.arrivedAt + r.kind.deadline - m.now
	after = limit.SpreadReturn(after, left/3, m.rand.Float64())
	at := (m.now + max(after, 50*time.Millisecond)).Truncate(surgeTick)
	if r.comebacks++; r.comebacks <= 2 && at < r.arrivedAt+r.kind.deadline {
		m.comingBack[at] = append(m.comingBack[at], r)
	}
}

func (m *surgeModel) arrive(r *modelRequest) {
	r.vm = m.vms[m.rand.IntN(len(m.vms))]
	if !m.admit {
		m.dispatch(r, maxTries)
		return
	}
	m.offer(r)
}

func (m *surgeModel) offer(r *modelRequest) {
	tokens := r.kind.tokens
	if r.large {
		tokens *= 4
	}
	latest := r.arrivedAt + r.kind.target - r.kind.prefill - min(time.Duration(1.5*float64(r.vm.delay[r.kind.rank])), r.kind.target/2)
	priority := -r.kind.rank
	if latest < m.now {
		priority -= modelLatePriority
		latest = r.arrivedAt + r.kind.deadline - r.kind.prefill
	}
	w := limit.Work{Account: r.account, Priority: priority, Deadline: start.Add(latest), Cost: tokens, Bytes: 800, Headroom: modelHeadroom[r.kind.rank]}
	waiter, evicted, err := r.vm.admission.Offer(w, m.time())
	for _, e := range evicted {
		m.comeBack(r.vm.waiting[e], r.vm.admission.RetryAfter(e.Work))
		delete(r.vm.waiting, e)
	}
	switch {
	case err != nil:
		m.comeBack(r, refusal.FromError(err).RetryAfter)
	case waiter == nil:
		m.begin(r)
	default:
		r.vm.waiting[waiter] = r
		m.start(r.vm)
	}
}

func (m *surgeModel) start(v *modelVM) {
	started, late := v.admission.Start(m.time())
	for _, w := range late {
		m.comeBack(v.waiting[w], v.admission.RetryAfter(w.Work))
		delete(v.waiting, w)
	}
	for _, w := range started {
		r := v.waiting[w]
		delete(v.waiting, w)
		m.begin(r)
	}
}

// begin sends an admitted request, and to one further engine after a rejection.
func (m *surgeModel) begin(r *modelRequest) {
	r.admitted = m.now
	if !m.dispatch(r, 2) {
		r.vm.admission.Done(0, false)
	}
}

// dispatch sends a request to up to tries engines, and reports whether one took it.
func (m *surgeModel) dispatch(r *modelRequest, tries int) bool {
	for range tries {
		i := m.choose(r.vm)
		e := m.engines[i]
		m.arrivals++
		r.vm.sent[i]++
		r.engine = i
		if len(e.waiting) < modelQueue {
			e.waiting = append(e.waiting, r)
			slices.SortStableFunc(e.waiting, func(a, b *modelRequest) int { return a.kind.rank - b.kind.rank })
			return true
		}
		m.rejected++
		m.report(r)
		r.vm.admission.Observe(limit.Rejected, m.time())
	}
	m.comeBack(r, time.Second)
	return false
}

// report tells the VM of a request the load of its engine.
func (m *surgeModel) report(r *modelRequest) {
	e := m.engines[r.engine]
	r.vm.seen[r.engine], r.vm.sent[r.engine], r.vm.seenAt[r.engine] = len(e.running)+len(e.waiting), 0, m.now
}

// load returns the load of an engine as the VM knows it. Reports count for three seconds.
func (m *surgeModel) loadOf(v *modelVM, i int) int {
	if m.now-v.seenAt[i] > 3*time.Second {
		return v.sent[i]
	}
	return v.seen[i] + v.sent[i]
}

// choose returns the engine with the lowest load that the VM knows among four.
func (m *surgeModel) choose(v *modelVM) int {
	best := -1
	for range 4 {
		i := m.rand.IntN(modelEngines)
		for m.engines[i].down {
			i = m.rand.IntN(modelEngines)
		}
		if best < 0 || m.loadOf(v, i) < m.loadOf(v, best) {
			best = i
		}
	}
	return best
}

func (m *surgeModel) stepEngine(e *modelEngine) {
	e.running = slices.DeleteFunc(e.running, func(r *modelRequest) bool {
		if r.endsAt <= m.now && m.admit {
			r.vm.admission.Done(m.now-r.admitted, true)
		}
		return r.endsAt <= m.now
	})
	for len(e.running) < modelSlots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		if m.now > r.arrivedAt+r.kind.deadline {
			if m.admit {
				r.vm.admission.Done(m.now-r.admitted, false)
			}
			continue
		}
		m.serve(e, r)
	}
}

func (m *surgeModel) serve(e *modelEngine, r *modelRequest) {
	r.endsAt = m.now + r.kind.service
	e.running = append(e.running, r)
	m.count(r)
	m.report(r)
	if !m.admit {
		return
	}
	delay := &r.vm.delay[r.kind.rank]
	*delay += (m.now - r.admitted - *delay) / 8
	signal := limit.Accepted
	if float64(len(e.waiting)) > congestedPart*float64(len(e.running)) {
		signal = limit.Congested
	}
	r.vm.admission.Observe(signal, m.time())
}

// count counts a request that is served.
func (m *surgeModel) count(r *modelRequest) {
	if r.arrivedAt < m.since {
		return
	}
	t := m.tally(r)
	t.served++
	if m.now+r.kind.prefill <= r.arrivedAt+r.kind.target {
		t.inTime++
		t.value += r.kind.value
	} else {
		t.value += r.kind.late
	}
}

// setDown takes a third of the engines away, with all that they run, or brings them back.
func (m *surgeModel) setDown(down bool) {
	for _, e := range m.engines[:modelEngines/3] {
		e.down = down
		if down && m.admit {
			for _, r := range append(e.running, e.waiting...) {
				r.vm.admission.Done(0, false)
			}
		}
		e.running, e.waiting = nil, nil
	}
}
