package engines_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// fleet simulates upstreams of different speed that several VMs send streams to.
type fleet struct {
	clock   *clockwork.FakeClock
	vms     []*engines.Directory
	servers map[upstream.ID]*server
	rng     *rand.Rand
	// ended counts the answers, late those that took longer than the deadline, and seconds the
	// time of all of them.
	ended, late int
	seconds     float64
	// lengthHint is the number of events that the VMs expect.
	lengthHint float64
	// prefixes is the number of long prompt prefixes that requests share; zero for none. homes
	// counts the streams by prefix and server.
	prefixes int
	homes    map[uint64]map[upstream.ID]int
}

// server is one simulated upstream.
type server struct {
	factor  float64
	running []*job
	served  int
}

// job is a stream on a server.
type job struct {
	attempt  *engines.Attempt
	engine   *engines.Engine
	began    time.Time
	progress float64
	events   int
	length   int
}

const (
	fleetStep     = 10 * time.Millisecond
	fleetGap      = 60 * time.Millisecond
	fleetCapacity = 24
	fleetDeadline = 6 * time.Second
)

// newFleet returns a third of slow upstreams, 1.7 times the usual time, and two thirds of fast
// ones, 0.7 times.
func newFleet(vms, servers int, answerEnd bool) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), servers: make(map[upstream.ID]*server), rng: rand.New(rand.NewPCG(7, 7)), lengthHint: 40, homes: make(map[uint64]map[upstream.ID]int)}
	entries := make([]engines.Entry, servers)
	for i := range entries {
		entries[i] = newEntry(fmt.Sprintf("u%02d", i), "d1")
		entries[i].Capacity = fleetCapacity
		s := &server{factor: 0.7}
		if i%3 == 0 {
			s.factor = 1.7
		}
		f.servers[entries[i].ID] = s
	}
	for rank := range vms {
		d := newPacedDirectory(f.clock, rank, vms, answerEnd)
		d.Replace(entries)
		f.vms = append(f.vms, d)
	}
	return f
}

func (f *fleet) send(d *engines.Directory) {
	req := engines.Requirements{
		Service: "s", Draw: f.rng.Uint64(),
		Answer: engines.AnswerShape{Model: "large", Events: f.lengthHint, TimeLeft: fleetDeadline, MaxPause: 800 * time.Millisecond},
	}
	if f.prefixes > 0 {
		req.PrefixHash, req.SharedTokens = 1+f.rng.Uint64N(uint64(f.prefixes)), 5382
	}
	choice := d.Choose(req)
	if f.homes[req.PrefixHash] == nil {
		f.homes[req.PrefixHash] = make(map[upstream.ID]int)
	}
	f.homes[req.PrefixHash][choice.Engine.ID()]++
	s := f.servers[choice.Engine.ID()]
	j := &job{engine: choice.Engine, attempt: choice.Engine.Begin(0), began: f.clock.Now(), length: 16 + f.rng.IntN(33)}
	s.running = append(s.running, j)
	s.served++
}

// advance lets the time of one step pass on a server. Streams beyond the capacity wait.
func (f *fleet) advance(s *server) {
	active := min(len(s.running), fleetCapacity)
	step := float64(fleetStep) / float64(fleetGap) / s.factor / (1 + float64(active)/fleetCapacity)
	kept := s.running[:0]
	for i, j := range s.running {
		if i < active {
			j.progress += step * (0.8 + 0.4*f.rng.Float64())
		}
		for ; j.events < int(j.progress) && j.events < j.length; j.events++ {
			if j.events == 0 {
				j.attempt.MarkReceived()
				j.engine.UpdateLoad(route.Load{Running: active, Waiting: len(s.running) - active, Capacity: fleetCapacity})
			}
			j.attempt.RecordEvents("large", 1, 0)
		}
		took := f.clock.Since(j.began)
		if j.events < j.length && took < fleetDeadline {
			kept = append(kept, j)
			continue
		}
		j.attempt.End(engines.Result{Took: took})
		f.ended++
		f.seconds += took.Seconds()
		if j.events < j.length {
			f.late++
		}
	}
	s.running = kept
}

// run lets each VM send perSecond streams a second on average.
func (f *fleet) run(d time.Duration, perSecond float64) {
	for range int(d / fleetStep) {
		f.clock.Advance(fleetStep)
		for _, vm := range f.vms {
			if f.rng.Float64() < perSecond*fleetStep.Seconds() {
				f.send(vm)
			}
		}
		for i := range len(f.servers) {
			f.advance(f.servers[upstream.ID(fmt.Sprintf("u%02d", i))])
		}
	}
}

// busiest returns the largest ratio of the streams that a server got to those that its speed
// explains.
func (f *fleet) busiest() float64 {
	speeds, served := 0.0, 0
	for _, s := range f.servers {
		speeds += 1 / s.factor
		served += s.served
	}
	most := 0.0
	for _, s := range f.servers {
		most = max(most, float64(s.served)/(float64(served)/s.factor/speeds))
	}
	return most
}

// TestUnevenUpstreamsAreUsedBySpeed guards against VMs that send everything to the fast
// upstreams, and against streams on slow ones that end at their deadline.
func TestUnevenUpstreamsAreUsedBySpeed(t *testing.T) {
	for perSecond, took := range map[float64]time.Duration{1: time.Minute, 3: 20 * time.Second, 4: 20 * time.Second} {
		t.Run(fmt.Sprintf("%v a second", perSecond), func(t *testing.T) {
			g := NewWithT(t)
			without, with := newFleet(25, 20, false), newFleet(25, 20, true)
			for _, f := range []*fleet{without, with} {
				f.run(took, perSecond)
				t.Logf("busiest %.2f, late %d of %d, mean %.2f s", f.busiest(), f.late, f.ended, f.seconds/float64(f.ended))
			}
			g.Expect(with.busiest()).To(BeNumerically("<", 1.6))
			g.Expect(with.seconds / float64(with.ended)).To(BeNumerically("<", without.seconds/float64(without.ended)))
			g.Expect(with.late).To(BeNumerically("<=", without.late))
		})
	}
}

// TestAnswerEndOffChangesNothing guards against decisions that regard the ends of answers where the
// settings don't call for it: upstreams with slow streams, large requests and long prefixes are
// chosen as if nothing were known of them.
func TestAnswerEndOffChangesNothing(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	off := newDirectoryOf(clock, 0, 1)
	entries := make([]engines.Entry, 20)
	for i := range entries {
		entries[i] = newEntry(fmt.Sprintf("u%02d", i), fmt.Sprintf("d%d", 1+i%2))
	}
	off.Replace(entries)
	for _, e := range entries[:10] {
		a := find(off, e.ID).Begin(time.Millisecond)
		a.SetTokens(100_000)
		for range 20 {
			clock.Advance(time.Second / 20)
			a.RecordEvents("large", 1, 0)
		}
	}
	for draw := range uint64(200) {
		req := engines.Requirements{Service: "s", Draw: draw, RouterPicksModel: true, SmallModel: draw%3 == 0, PrefixHash: draw % 7, SharedTokens: 5000}
		want := off.Choose(req)
		req.Answer = engines.AnswerShape{Model: "large", Events: 40, TimeLeft: 5 * time.Second, MaxPause: time.Second, Tokens: 9000, MemoryTokens: 10_000}
		got := off.Choose(req)
		g.Expect(got.Engine.ID()).To(Equal(want.Engine.ID()))
		g.Expect(got.AnswerEnd).To(BeZero())
	}
}
