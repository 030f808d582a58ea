package shifts_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/shifts"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout/shift"
)

// atLoad returns the outcome of a stream at an upstream with the given number of requests.
func atLoad(v model.VersionID, requests int, gap time.Duration) shifts.Outcome {
	o := outcome(v, gap, false)
	o.Load = requests
	return o
}

// rollOutBesideBurst moves a service whose old engines are full in a burst. The new ones are not: its streams there have the
// given time between events, at 1, 2 and 4 requests.
func rollOutBesideBurst(t *testing.T, gaps [3]time.Duration) *fleet {
	f := newFleet(t, "a")
	f.order()
	for range 10 {
		f.recordOutcomes(0, 1, atLoad("v1", 4, 32*time.Millisecond))
		f.recordOutcomes(0, 3, atLoad("v1", 8, 50*time.Millisecond))
		f.recordOutcomes(0, 8, atLoad("v1", 16, 64*time.Millisecond))
		f.recordOutcomes(0, 8, atLoad("v1", 32, 90*time.Millisecond))
	}
	f.advance(11 * time.Second)
	for range 10 {
		f.recordOutcomes(0, 6, atLoad("v1", 32, 90*time.Millisecond))
		f.recordOutcomes(0, 2, atLoad("v1", 32, 270*time.Millisecond))
		for i, gap := range gaps {
			f.recordOutcomes(0, 1, atLoad("v2", 1<<i, gap))
		}
	}
	f.advance(9 * time.Second)
	return f
}

// TestSlowVersionIsNotCompletedBesideBurst guards against a slow version that is completed as its answers at empty engines take
// no longer than those of the old version at full ones.
func TestSlowVersionIsNotCompletedBesideBurst(t *testing.T) {
	f := rollOutBesideBurst(t, [3]time.Duration{67 * time.Millisecond, 74 * time.Millisecond, 96 * time.Millisecond})
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
}

// TestGoodVersionCompletesBesideBurst guards against a good version that is reverted for want of answers of the old one at
// engines as empty as its own.
func TestGoodVersionCompletesBesideBurst(t *testing.T) {
	f := rollOutBesideBurst(t, [3]time.Duration{19 * time.Millisecond, 21 * time.Millisecond, 30 * time.Millisecond})
	f.Expect(f.state().Phase).To(Equal(shift.Complete))
}

// TestGoodVersionAtFullEnginesIsNotReverted guards against a good version that is reverted as its few engines are full while
// those of the old version are not.
func TestGoodVersionAtFullEnginesIsNotReverted(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	for range 20 {
		f.recordOutcomes(0, 4, atLoad("v1", 2, 21*time.Millisecond))
		f.recordOutcomes(0, 1, atLoad("v1", 32, 90*time.Millisecond))
	}
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 40, atLoad("v1", 2, 21*time.Millisecond))
	f.recordOutcomes(0, 30, atLoad("v2", 32, 90*time.Millisecond))
	f.advance(9 * time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Complete))
}

// TestUsualTimesAreThoseOfVersionInService guards against a version that is held to the times of one that was replaced before.
func TestUsualTimesAreThoseOfVersionInService(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.recordOutcomes(0, 40, atLoad("v1", 2, 200*time.Millisecond))
	f.recordOutcomes(0, 40, atLoad("v1", 16, 400*time.Millisecond))
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 40, atLoad("v2", 2, 50*time.Millisecond))
	f.advance(9 * time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Complete))
	f.recordOutcomes(0, 40, atLoad("v2", 2, 50*time.Millisecond))
	f.vms[0].Order(shift.Order{ID: 2, Service: "s", To: "v3", Duration: 20 * time.Second})
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 40, atLoad("v2", 2, 50*time.Millisecond))
	f.recordOutcomes(0, 20, atLoad("v3", 16, 400*time.Millisecond))
	f.advance(9 * time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
}

// TestWeakAnswersCountWhetherLateOrNot guards against answers that count only if they are late: the old version looked slower
// than it was, and hid a new one that is.
func TestWeakAnswersCountWhetherLateOrNot(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	weak := func(v model.VersionID, firstAfter time.Duration) shifts.Outcome {
		o := outcome(v, 0, false)
		o.FirstEventLatency = firstAfter
		return o
	}
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.recordOutcomes(0, 40, weak("v1", time.Second))
	f.recordOutcomes(0, 120, weak("v1", 100*time.Millisecond))
	f.recordOutcomes(0, 10, outcome("v2", 4*usualGap, false))
	f.recordOutcomes(0, 10, outcome("v2", usualGap, false))
	f.advance(9 * time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	f.Expect(f.state().Verdict.Bad).To(BeTrue())
}

// beginStreams starts streams on the first VM and records their first events.
func (f *fleet) beginStreams(n int, v model.VersionID) []*shifts.Running {
	return f.streams(n, v, 1, 0)
}

// TestStreamsInProgressHoldCompletion guards against a version that is completed on its fast answers, which end first, while its
// slow ones are still in progress.
func TestStreamsInProgressHoldCompletion(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.recordOutcomes(0, 25, outcome("v2", usualGap, false))
	slow := f.beginStreams(25, "v2")
	f.advance(9 * time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	f.Expect(f.evidence("a").Seen.Answers.Requests).To(BeEquivalentTo(25), "none of the slow ones is counted")
	for _, r := range slow {
		r.End(shifts.Inconclusive)
	}
}

// TestStreamsInProgressOfBothVersionsDoNotHoldCompletion guards against a good version that is held back by what holds up the
// old one as well.
func TestStreamsInProgressOfBothVersionsDoNotHoldCompletion(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.recordOutcomes(0, 25, outcome("v2", usualGap, false))
	f.beginStreams(20, "v2")
	f.beginStreams(70, "v1")
	f.advance(9 * time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Complete))
}

// onRoute returns the outcome of a stream on a route.
func onRoute(route string, v model.VersionID, failed bool) shifts.Outcome {
	o := outcome(v, usualGap, failed)
	o.Route = route
	return o
}

// TestVersionThatFailsOnOneRouteIsNotCompleted guards against a version that is bad on one route only, whose errors are few among
// the answers on all routes.
func TestVersionThatFailsOnOneRouteIsNotCompleted(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.order()
	f.recordOutcomes(0, 60, onRoute("tag", "v1", false))
	f.recordOutcomes(0, 20, onRoute("draft", "v1", false))
	f.advance(11 * time.Second)
	for i := range f.vms {
		f.recordOutcomes(i, 90, onRoute("tag", "v1", false))
		f.recordOutcomes(i, 30, onRoute("draft", "v1", false))
		f.recordOutcomes(i, 30, onRoute("tag", "v2", false))
		f.recordOutcomes(i, 5, onRoute("draft", "v2", false))
		f.recordOutcomes(i, 2, onRoute("draft", "v2", true))
	}
	f.advance(9 * time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
}

// TestEvidenceOfRoutesIsBounded guards against rows that grow with the routes of a configuration.
func TestEvidenceOfRoutesIsBounded(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.advance(11 * time.Second)
	for i := range 100 {
		f.recordOutcomes(0, 1, onRoute(fmt.Sprint("route-", i), "v2", false))
	}
	f.advance(2 * time.Second)
	f.Expect(f.evidence("a").Seen.Answers.Requests).To(BeEquivalentTo(100))
	f.Expect(len(f.table.rows["evidence/s/a"].Value)).To(BeNumerically("<", 4<<10))

	f.vms = nil
	f.addVM("a")
	f.addVM("b")
	f.order()
	for i := range f.vms {
		f.vms[i].Replace(f.table.batch())
	}
	for i := range 100 {
		f.recordOutcomes(0, 1, onRoute(fmt.Sprint("other-", i), "v2", false))
	}
	f.advance(2 * time.Second)
	f.Expect(f.evidence("a").Seen.Answers.Requests).To(BeEquivalentTo(200))
	f.Expect(f.evidence("a").Routes).To(HaveLen(16), "other VMs take no row with more")
}
