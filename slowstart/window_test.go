package slowstart_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/slowstart"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// begun returns a window at the begin of a slow start, and peers that answer as expected.
func begun() (slowstart.Window, slowstart.Peers) {
	var w slowstart.Window
	var p slowstart.Peers
	w.Begin(at(0))
	p.Observe(1, at(0))
	return w, p
}

// answers records n answers that took the given multiple of the expected time.
func answers(w *slowstart.Window, p *slowstart.Peers, n int, relative float64, usual, ms int) bool {
	ended := false
	for range n {
		ended = w.Answer(p.IsSlow(relative, at(ms)), usual, at(ms), at(ms)) || ended
	}
	return ended
}

// TestWindowDoublesWhileAnswersAreLikePeers guards against a sound upstream that stays idle: it
// has what its peers have within a few rounds of answers.
func TestWindowDoublesWhileAnswersAreLikePeers(t *testing.T) {
	g := NewWithT(t)
	w, p := begun()
	for _, allowed := range []int{1, 2, 4, 8} {
		g.Expect(w.Allowed()).To(Equal(allowed))
		g.Expect(answers(&w, &p, allowed, 1.2, 30, 100)).To(BeFalse())
	}
	g.Expect(answers(&w, &p, 16, 1.2, 30, 100)).To(BeTrue())
	g.Expect(w.Excess(1000)).To(BeZero())
}

// TestSlowAnswersShrinkWindow guards against an upstream that is flooded while it warms up.
func TestSlowAnswersShrinkWindow(t *testing.T) {
	g := NewWithT(t)
	w, p := begun()
	answers(&w, &p, 15, 1, 100, 100)
	g.Expect(w.Allowed()).To(Equal(16))
	answers(&w, &p, 1, 3, 100, 200)
	g.Expect(w.Allowed()).To(Equal(8))
	w.Reject(at(199), at(210))
	g.Expect(w.Allowed()).To(Equal(8), "it was sent before the window shrank")
	w.Reject(at(201), at(210))
	g.Expect(w.Allowed()).To(Equal(4))
	g.Expect(w.Excess(3)).To(BeZero())
	g.Expect(w.Excess(5)).To(Equal(0.5))
}

// TestBurstThatSlowsAllDownHoldsNoneBack covers a scale-out into a burst: peers are slow, too.
func TestBurstThatSlowsAllDownHoldsNoneBack(t *testing.T) {
	g := NewWithT(t)
	w, p := begun()
	for range 50 {
		p.Observe(4, at(50))
	}
	g.Expect(answers(&w, &p, 20, 4, 10, 100)).To(BeTrue())
}

// TestWithoutPeersNoAnswerIsSlow covers a service with one upstream, and one that was idle.
func TestWithoutPeersNoAnswerIsSlow(t *testing.T) {
	g := NewWithT(t)
	var none slowstart.Peers
	g.Expect(none.IsSlow(100, at(0))).To(BeFalse())
	w, p := begun()
	g.Expect(answers(&w, &p, 4, 100, 1, 10_000)).To(BeTrue())
}

// TestUpstreamThatGoesDownAndUpBeginsAgain covers an upstream that recovers by turns.
func TestUpstreamThatGoesDownAndUpBeginsAgain(t *testing.T) {
	g := NewWithT(t)
	w, p := begun()
	answers(&w, &p, 20, 1, 100, 100)
	w.Begin(at(200))
	g.Expect(w.Allowed()).To(Equal(1))
	g.Expect(answers(&w, &p, 4, 1, 1, 300)).To(BeTrue())
}

// TestFleetOfNewUpstreamsIsNotLimited covers a kill of all VMs and the return of a third.
func TestFleetOfNewUpstreamsIsNotLimited(t *testing.T) {
	g := NewWithT(t)
	g.Expect(slowstart.MostAreNew(60, 60)).To(BeTrue())
	g.Expect(slowstart.MostAreNew(20, 60)).To(BeFalse())
	g.Expect(slowstart.MostAreNew(1, 1)).To(BeTrue())
}

// TestFirstRequestIsAlwaysAllowed draws answers and rejections.
func TestFirstRequestIsAlwaysAllowed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w, p := begun()
		for ms, relative := range rapid.SliceOf(rapid.Float64Range(0, 10)).Draw(rt, "answers") {
			if relative > 9 {
				w.Reject(at(ms), at(ms))
			}
			answers(&w, &p, 1, relative, 1000, ms)
			if w.Allowed() < 1 || w.Excess(0) > 0 {
				rt.Fatalf("no request allowed after %d answers", ms)
			}
		}
	})
}
