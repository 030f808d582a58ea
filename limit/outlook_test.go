package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/limit"
)

// engineQueue is an upstream that reads prompts one after the other. busyUntil is when it
// has read the ones that it accepted.
type engineQueue struct{ busyUntil time.Duration }

// playLongPrompts replays a burst of prompts on one upstream: ten a second, of which each
// takes 0.3 s to read, for 20 s, from callers that wait for 5 s. It returns how many
// answers began while their callers waited, and how long the refused callers had waited.
func playLongPrompts(refuseHopeless bool) (served int, longestRefusal time.Duration) {
	const work, deadline = 300 * time.Millisecond, 5 * time.Second
	var q engineQueue
	for i := range 200 {
		now := time.Duration(i) * 100 * time.Millisecond
		o := limit.Outlook{Wait: max(q.busyUntil-now, 0), Work: work, TimeLeft: deadline}
		if refuseHopeless && o.Hopeless() {
			continue
		}
		q.busyUntil = now + o.Wait + work
		if o.Wait+work <= deadline {
			served++
			continue
		}
		longestRefusal = max(longestRefusal, deadline)
	}
	return served, longestRefusal
}

// TestHopelessRequestsDoNotDelayOthers replays a burst of long prompts. Without the
// decision the queue grows until nobody is served in time; with it the upstream serves
// as many callers as it can, and nobody waits for a refusal.
func TestHopelessRequestsDoNotDelayOthers(t *testing.T) {
	g := NewWithT(t)
	without, waited := playLongPrompts(false)
	with, refusedAfter := playLongPrompts(true)
	g.Expect(waited).To(Equal(5 * time.Second))
	g.Expect(refusedAfter).To(BeZero())
	// The upstream reads a prompt in 0.3 s, for 20 s and the last callers' 5 s.
	g.Expect(with).To(BeNumerically(">=", 80))
	g.Expect(without).To(BeNumerically("<", with/2))
}

func TestOutlookIsHopefulUntilDeadline(t *testing.T) {
	g := NewWithT(t)
	g.Expect(limit.Outlook{Wait: 3 * time.Second, Work: 2 * time.Second, TimeLeft: 5 * time.Second}.Hopeless()).To(BeFalse())
	g.Expect(limit.Outlook{Wait: 3 * time.Second, Work: 2 * time.Second, TimeLeft: 4999 * time.Millisecond}.Hopeless()).To(BeTrue())
}

// TestRefusedCallersDoNotReturnTogether refuses 1,000 callers at the same moment, as all
// VMs do after a kill of all of them. No tenth of the time in which they return may get
// more than three tenths of them, and none may return before there is room.
func TestRefusedCallersDoNotReturnTogether(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	const room = time.Second
	returns := make(map[int]int)
	for range 1000 {
		at := limit.SpreadReturn(room, time.Minute, rng.Float64())
		g.Expect(at).To(And(BeNumerically(">=", room), BeNumerically("<=", 3*room/2)))
		returns[int((at-room)/(50*time.Millisecond))]++
	}
	for tenth, n := range returns {
		g.Expect(n).To(BeNumerically("<", 300), "tenth %d", tenth)
	}
	const latest = 600 * time.Millisecond
	g.Expect(limit.SpreadReturn(room, latest, 0.99)).To(BeNumerically("<=", latest))
	g.Expect(limit.SpreadReturn(room, latest, 0)).To(BeNumerically("<", limit.SpreadReturn(room, latest, 0.5)), "short deadlines are spread as well")
}
