package fragile

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/poplarshore/poplarshore/limit"
)

const (
	tick = 5 * time.Millisecond
	// The burst begins after calmTime, takes burstTime, and the run ends after as long again.
	calmTime  = 4 * time.Second
	burstTime = 4 * time.Second
	runTime   = calmTime + 2*burstTime
	// restartTime is how long an upstream is down after it ended.
	restartTime = 3 * time.Second
	// maxDelay is the longest way between a VM and an upstream.
	maxDelay = 30 * time.Millisecond
	// reportTTL is how long a report counts; rejectionPause how long a VM leaves an upstream
	// alone that rejected a request of it, and remotePause one that rejected another VM's.
	reportTTL      = 500 * time.Millisecond
	rejectionPause = time.Second
	remotePause    = 300 * time.Millisecond
	// waitTime is how long a request waits for a place, and returnShare the share of refused
	// callers that come back after returnAfter.
	waitTime    = 250 * time.Millisecond
	returnShare = 0.3
	returnAfter = 100 * time.Millisecond
)

// target is an upstream.
type target struct {
	running    int
	rejectedAt []time.Duration
	downUntil  time.Duration
	// life is counted up when the upstream ends.
	life int
}

// view is what a VM knows of an upstream.
type view struct {
	inFlight, others        int
	reportedAt, pausedUntil time.Duration
}

// request is a request in progress.
type request struct {
	vm, at int
	// life is that of the upstream when it was sent there.
	life             int
	arrivedAt, retry time.Duration
	retried          bool
}

// simulation is a run.
type simulation struct {
	Scenario
	rule    Rule
	rng     *rand.Rand
	now     time.Duration
	targets []target
	views   [][]view
	weights []float64
	// offsets are those of the upstreams in the division of places.
	offsets []int
	events  eventQueue
	waiting []*request

	sent, served, ends int
}

func newSimulation(s Scenario, rule Rule, seed uint64) *simulation {
	sim := &simulation{Scenario: s, rule: rule, rng: rand.New(rand.NewPCG(seed, 1)), targets: make([]target, s.Upstreams)}
	sum := 0.0
	for range s.VMs {
		sim.views = append(sim.views, make([]view, s.Upstreams))
		sum += 0.2 + sim.rng.Float64()
		sim.weights = append(sim.weights, sum)
	}
	for range s.Upstreams {
		sim.offsets = append(sim.offsets, sim.rng.IntN(s.VMs))
	}
	for _, views := range sim.views {
		for i := range views {
			views[i].reportedAt = -time.Hour
		}
	}
	return sim
}

func (s *simulation) simulate() {
	perTick := s.Load * float64(s.Upstreams*s.Capacity) * tick.Seconds() / s.Service.Seconds()
	for ; s.now < runTime; s.now += tick {
		s.events.runUntil(s.now)
		rate := perTick
		if s.now >= calmTime && s.now < calmTime+burstTime {
			rate *= s.Burst
		}
		if s.Returns && s.now == calmTime {
			s.end(1)
		}
		for range s.poisson(rate) {
			s.sent++
			s.arrive(&request{vm: s.drawVM(), arrivedAt: s.now})
		}
		s.retryWaiting()
	}
}

func (s *simulation) poisson(mean float64) int {
	n, p, bound := 0, s.rng.Float64(), math.Exp(-mean)
	for p > bound {
		n++
		p *= s.rng.Float64()
	}
	return n
}

func (s *simulation) drawVM() int {
	draw := s.rng.Float64() * s.weights[len(s.weights)-1]
	for i, w := range s.weights {
		if draw < w {
			return i
		}
	}
	return 0
}

func (s *simulation) delay() time.Duration { return time.Duration(s.rng.Int64N(int64(maxDelay))) }

// arrive sends a request to an upstream, or lets it wait for a place.
func (s *simulation) arrive(r *request) {
	if at := s.choose(r); at >= 0 {
		s.send(r, at)
		return
	}
	s.waiting = append(s.waiting, r)
}

// retryWaiting sends requests that wait, and refuses those that have waited for too long.
func (s *simulation) retryWaiting() {
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		switch {
		case s.now-r.arrivedAt < waitTime:
			s.arrive(r)
		case r.retry == 0 && s.rng.Float64() < returnShare:
			again := &request{vm: s.drawVM(), arrivedAt: s.now + returnAfter, retry: s.now}
			s.events.add(again.arrivedAt, func() { s.arrive(again) })
		}
	}
}

// choose returns the upstream for a request, or -1.
func (s *simulation) choose(r *request) int {
	best, fewest := -1, math.MaxInt
	first := s.rng.IntN(s.Upstreams)
	for i := range s.Upstreams {
		at := (first + i) % s.Upstreams
		if !s.allows(r.vm, at) {
			continue
		}
		if at == 0 && s.rng.Float64() < s.Hot {
			return at
		}
		if load := s.knownLoad(r.vm, at); load < fewest {
			best, fewest = at, load
		}
	}
	return best
}

func (s *simulation) knownLoad(vm, at int) int {
	v := &s.views[vm][at]
	if s.now-v.reportedAt > reportTTL {
		return v.inFlight
	}
	return v.inFlight + v.others
}

// allows reports whether a VM may send an upstream one more request by the rule.
func (s *simulation) allows(vm, at int) bool {
	v := &s.views[vm][at]
	if s.now < s.targets[at].downUntil {
		return false
	}
	switch s.rule {
	case Unbounded:
		return true
	case Reported:
		return s.now >= v.pausedUntil && s.knownLoad(vm, at) < s.Capacity
	}
	return s.now >= v.pausedUntil && limit.Places{
		Capacity: s.Capacity, Upstreams: s.Upstreams, VMs: s.VMs, Rank: vm, Offset: s.offsets[at],
		Reported: s.now-v.reportedAt <= reportTTL, Others: v.others,
	}.Allow(v.inFlight, s.now)
}

// send sends a request to an upstream, where it arrives a little later.
func (s *simulation) send(r *request, at int) {
	r.at = at
	s.views[r.vm][at].inFlight++
	s.events.add(s.now+s.delay(), func() { s.receive(r) })
}

// receive lets an upstream run or reject a request.
func (s *simulation) receive(r *request) {
	t := &s.targets[r.at]
	if s.now < t.downUntil {
		s.events.add(s.now+s.delay(), func() { s.views[r.vm][r.at].inFlight-- })
		return
	}
	if t.running >= s.Capacity {
		s.reject(r)
		return
	}
	t.running++
	r.life = t.life
	s.report(r)
	took := time.Duration(s.rng.ExpFloat64() * float64(s.Service))
	s.events.add(s.now+took, func() { s.finish(r) })
}

// report tells the VM of a request the upstream's load.
func (s *simulation) report(r *request) {
	load := s.targets[r.at].running
	s.events.add(s.now+s.delay(), func() {
		v := &s.views[r.vm][r.at]
		v.others, v.reportedAt = max(load-v.inFlight, 0), s.now
	})
}

func (s *simulation) finish(r *request) {
	t := &s.targets[r.at]
	if r.life != t.life {
		s.views[r.vm][r.at].inFlight--
		return
	}
	t.running--
	s.served++
	s.events.add(s.now+s.delay(), func() { s.views[r.vm][r.at].inFlight-- })
}

// reject rejects a request. The upstream ends if these were too many.
func (s *simulation) reject(r *request) {
	t := &s.targets[r.at]
	t.rejectedAt = append(t.rejectedAt, s.now)
	for s.now-t.rejectedAt[0] > time.Second {
		t.rejectedAt = t.rejectedAt[1:]
	}
	s.report(r)
	s.events.add(s.now+s.delay(), func() { s.rejected(r) })
	if len(t.rejectedAt) > s.Tolerated {
		s.end(r.at)
		s.ends++
	}
}

// rejected tells a VM that its request was rejected. It hints at that and tries once more.
func (s *simulation) rejected(r *request) {
	s.views[r.vm][r.at].inFlight--
	s.pause(r.vm, r.at, rejectionPause)
	for vm := range s.VMs {
		if vm != r.vm && s.rng.Float64() >= s.HintLoss {
			at := r.at
			s.events.add(s.now+s.delay(), func() { s.pause(vm, at, remotePause) })
		}
	}
	if !r.retried {
		r.retried = true
		s.arrive(r)
	}
}

func (s *simulation) pause(vm, at int, d time.Duration) {
	v := &s.views[vm][at]
	v.pausedUntil = max(v.pausedUntil, s.now+d)
}

// end ends an upstream with all that it runs.
func (s *simulation) end(at int) {
	t := &s.targets[at]
	t.life++
	t.running, t.rejectedAt, t.downUntil = 0, nil, s.now+restartTime
}
