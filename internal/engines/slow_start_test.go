package engines_test

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/upstream"
)

// newSlowStartVM returns a VM with slow starts on or off that uses four upstreams, each of which
// has two of its requests in flight.
func newSlowStartVM(on bool) (*engines.Directory, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	d := engines.New(engines.Options{
		SharedClock: sharedClock{clock}, Rank: func() (int, int) { return 0, 1 }, SlowStart: on,
		Region: "r1", Domain: "d1", ReregistrationGrace: 2 * time.Second, Placement: engines.DefaultPlacement(),
		RegionOf: func(domain.ID) domain.Region { return "r1" }, Registry: prometheus.NewRegistry(),
	}, clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	entries := make([]engines.Entry, 4)
	for i := range entries {
		entries[i] = newEntry(fmt.Sprint("old-", i), "d1")
	}
	d.Replace(entries)
	for _, e := range entries {
		answerAfter(d, clock, e.ID, 2, 50*time.Millisecond)
	}
	return d, clock
}

// answerAfter sends n requests to an upstream, which begins its answers after a time and does not
// end them.
func answerAfter(d *engines.Directory, clock *clockwork.FakeClock, id upstream.ID, n int, first time.Duration) {
	attempts := make([]*engines.Attempt, n)
	for i := range attempts {
		attempts[i] = find(d, id).Begin(50 * time.Millisecond)
	}
	clock.Advance(first)
	for _, a := range attempts {
		a.MarkReceived()
	}
}

// place places n requests that are not answered, and returns how many each upstream got.
func place(d *engines.Directory, n int) map[upstream.ID]int {
	counts := make(map[upstream.ID]int)
	for range n {
		e := d.Choose(engines.Requirements{Service: "s"}).Engine
		e.Begin(0)
		counts[e.ID()]++
	}
	return counts
}

// TestNewUpstreamIsNotFlooded guards against a release or a return after a crash in which the new
// upstream gets all requests, because it looks idle.
func TestNewUpstreamIsNotFlooded(t *testing.T) {
	for _, on := range []bool{false, true} {
		t.Run(fmt.Sprint(on), func(t *testing.T) {
			g := NewWithT(t)
			d, _ := newSlowStartVM(on)
			d.Put(newEntry("new", "d1"))
			got := place(d, 4)["new"]
			if on {
				g.Expect(got).To(Equal(1))
				return
			}
			g.Expect(got).To(BeNumerically(">=", 2))
		})
	}
}

// TestSlowStartEndsWithAnswersLikePeers guards against an upstream that is left idle for longer
// than its answers call for.
func TestSlowStartEndsWithAnswersLikePeers(t *testing.T) {
	g := NewWithT(t)
	d, clock := newSlowStartVM(true)
	d.Put(newEntry("new", "d1"))
	answerAfter(d, clock, "new", 4, 50*time.Millisecond)
	d.Put(newEntry("newer", "d1"))
	answerAfter(d, clock, "newer", 4, time.Second)
	placed := place(d, 20)
	g.Expect(placed["newer"]).To(BeNumerically("<", placed["new"]), "its answers are slow")
}

// TestUpstreamThatWasUnreachedStartsSlowly covers a crash and return under the same entry.
func TestUpstreamThatWasUnreachedStartsSlowly(t *testing.T) {
	g := NewWithT(t)
	d, clock := newSlowStartVM(true)
	for _, id := range []upstream.ID{"old-1", "old-2", "old-3"} {
		answerAfter(d, clock, id, 3, 50*time.Millisecond)
	}
	find(d, "old-0").MarkUnreached(true)
	g.Expect(place(d, 3)).NotTo(HaveKey(upstream.ID("old-0")), "its two requests exceed the window")
	d.ForgetFailures("s")
	g.Expect(place(d, 3)).To(HaveKey(upstream.ID("old-0")), "this VM was cut off")
}

// TestMostUpstreamsNewAreNotLimited covers a kill of all VMs and a restart of all upstreams: there
// is no other place for the load.
func TestMostUpstreamsNewAreNotLimited(t *testing.T) {
	g := NewWithT(t)
	d, _ := newSlowStartVM(true)
	for i := range 5 {
		d.Put(newEntry(fmt.Sprint("new-", i), "d1"))
	}
	placed := place(d, 15)
	for i := range 5 {
		g.Expect(placed[upstream.ID(fmt.Sprint("new-", i))]).To(BeNumerically(">=", 2))
	}
}

// TestOverloadUsesUpstreamInSlowStart guards against an upstream that stays idle while all others
// queue.
func TestOverloadUsesUpstreamInSlowStart(t *testing.T) {
	g := NewWithT(t)
	d, _ := newSlowStartVM(true)
	d.Put(newEntry("new", "d1"))
	g.Expect(place(d, 60)["new"]).To(BeNumerically(">", 1))
}
