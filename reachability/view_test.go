package reachability_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/reachability"
	"github.com/poplarshore/poplarshore/upstream"
)

// upstreams returns the IDs of n upstreams.
func upstreams(n int) []upstream.ID {
	ids := make([]upstream.ID, n)
	for i := range ids {
		ids[i] = upstream.ID(fmt.Sprintf("u%d", i))
	}
	return ids
}

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newView returns a view in which all upstreams were reached at the start.
func newView(usable []upstream.ID) *reachability.View {
	v := reachability.NewView(reachability.DefaultOptions())
	for _, u := range usable {
		v.Record(u, reachability.Received, start)
	}
	return v
}

func TestWayIsLostIfSeveralUpstreamsFailAndNothingComesFromOthers(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(12)
	v := newView(usable)
	for i, u := range usable[:3] {
		g.Expect(v.Status(usable, false, at(200)).CutOff).To(BeFalse(), "%d upstreams failed", i)
		v.Record(u, reachability.NotConnected, at(10*i))
	}
	g.Expect(v.Status(usable, false, at(50)).CutOff).To(BeFalse(), "too early")
	g.Expect(v.Status(usable, false, at(200)).CutOff).To(BeTrue())
	v.Record(usable[7], reachability.Received, at(190))
	g.Expect(v.Status(usable, false, at(200)).CutOff).To(BeFalse())
}

// Guards against a VM with few requests that takes the end of some of its many upstreams for a lost way:
// nothing comes from the others for a moment, as nothing is due.
func TestFailuresBeforeTheLastContactDoNotCount(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(90)
	v := newView(usable)
	for i, u := range usable[:5] {
		v.Record(u, reachability.NotConnected, at(1000*i))
		v.Record(usable[80], reachability.Received, at(1000*i+100))
		g.Expect(v.Status(usable, false, at(1000*i+900)).CutOff).To(BeFalse(), "%d upstreams ended", i+1)
	}
	for i, u := range usable[10:13] {
		g.Expect(v.Status(usable, false, at(6000+10*i)).CutOff).To(BeFalse())
		v.Record(u, reachability.NotConnected, at(6000+10*i))
	}
	g.Expect(v.Status(usable, false, at(6020)).CutOff).To(BeTrue())
}

func TestWayIsLostIfNearlyAllUpstreamsFailWhateverComesFromOthers(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(12)
	v := newView(usable)
	for _, u := range usable[:9] {
		v.Record(u, reachability.NotConnected, at(10))
		v.Record(usable[11], reachability.Received, at(10))
	}
	g.Expect(v.Status(usable, false, at(11)).CutOff).To(BeTrue())
}

func TestOneFailureSufficesIfTheWayToAnotherServiceIsLost(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(12)
	v := newView(usable)
	v.Record(usable[0], reachability.Lost, at(10))
	g.Expect(v.Status(usable, false, at(500)).CutOff).To(BeFalse())
	g.Expect(v.Status(usable, true, at(500)).CutOff).To(BeTrue())
}

func TestOneFailureSufficesSoonAfterTheWayWasLost(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(12)
	v := newView(usable)
	for _, u := range usable[:3] {
		v.Record(u, reachability.NotConnected, at(10))
	}
	g.Expect(v.Status(usable, false, at(500)).CutOff).To(BeTrue())
	for _, u := range usable {
		v.Record(u, reachability.Received, at(1000))
	}
	v.Record(usable[5], reachability.Lost, at(3000))
	g.Expect(v.Status(usable, false, at(3200)).CutOff).To(BeTrue())
	v.Record(usable[5], reachability.Received, at(3300))
	v.Record(usable[5], reachability.Lost, at(20_000))
	g.Expect(v.Status(usable, false, at(20_200)).CutOff).To(BeFalse())
}

func TestWayIsBackAfterProbesOfSeveralUpstreams(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(12)
	v := newView(usable)
	for _, u := range usable {
		v.Record(u, reachability.NotConnected, at(10))
	}
	for i := range 3 {
		g.Expect(v.Status(usable, false, at(500+i)).CutOff).To(BeTrue(), "%d probes", i)
		u, ok := v.Probe(usable, 0.9)
		g.Expect(ok).To(BeTrue())
		v.Record(u, reachability.Connected, at(500+i))
	}
	g.Expect(v.Status(usable, false, at(900)).CutOff).To(BeFalse())
	g.Expect(v.AllReached()).To(BeTrue())
}

// Half of the upstreams have ended, and for a moment nothing came from the others: a probe of
// one of these shows that the way is not lost.
func TestProbesAlsoGoToUpstreamsNotKnownAsUnreached(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(12)
	v := newView(usable)
	for _, u := range usable[:6] {
		v.Record(u, reachability.NotConnected, at(10))
	}
	g.Expect(v.Status(usable, false, at(500)).CutOff).To(BeTrue())
	for i := range 10 {
		u, ok := v.Probe(usable, float64(i)/10)
		g.Expect(ok).To(BeTrue())
		if slices.Contains(usable[6:], u) {
			v.Record(u, reachability.Connected, at(501))
		}
	}
	g.Expect(v.Status(usable, false, at(502)).CutOff).To(BeFalse())
}

func TestFailedProbeBeginsTheCountAgain(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(12)
	v := newView(usable)
	for _, u := range usable {
		v.Record(u, reachability.NotConnected, at(10))
	}
	v.Record(usable[0], reachability.Connected, at(20))
	v.Record(usable[1], reachability.Connected, at(21))
	v.Record(usable[2], reachability.NotConnected, at(22))
	v.Record(usable[3], reachability.Connected, at(23))
	g.Expect(v.AllReached()).To(BeFalse())
}

func TestUpstreamThatIsGoneIsNoEvidence(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(3)
	v := newView(usable)
	for _, u := range usable {
		v.Record(u, reachability.NotConnected, at(10))
	}
	g.Expect(v.Status(usable, false, at(500)).NoneReached()).To(BeTrue())
	next := append(usable[1:], "new")
	v.Retain(func(u upstream.ID) bool { return u != usable[0] })
	g.Expect(v.Status(next, false, at(500)).NoneReached()).To(BeFalse())
}

// Guards against taking upstreams that pause for a lost way.
func TestSilenceLeavesInDoubtWhetherTheWayIsLost(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(3)
	v := newView(usable)
	for _, u := range usable {
		v.Record(u, reachability.Silent, at(1000))
	}
	status := v.Status(usable, false, at(1000))
	g.Expect(status.CutOff).To(BeFalse())
	g.Expect(status.InDoubt).To(BeTrue())
	g.Expect(v.SilentAmong(usable, at(1000))).To(ConsistOf(usable))
	for _, u := range usable {
		v.Record(u, reachability.NotConnected, at(1400))
	}
	g.Expect(v.Status(usable, false, at(1400)).NoneReached()).To(BeTrue())
}

func TestConnectionToOneSilentUpstreamEndsTheDoubt(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(3)
	v := newView(usable)
	for _, u := range usable {
		v.Record(u, reachability.Silent, at(1000))
	}
	v.Record(usable[1], reachability.Connected, at(1030))
	g.Expect(v.AllReached()).To(BeTrue())
	g.Expect(v.Status(usable, false, at(2000)).InDoubt).To(BeFalse())
}

// Guards against a cut that is not noticed, because all upstreams were lost long before.
func TestSilenceCountsAfterOldFailure(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(3)
	v := newView(usable)
	for _, u := range usable {
		v.Record(u, reachability.Lost, at(0))
	}
	for _, u := range usable {
		v.Record(u, reachability.Silent, at(60_000))
	}
	g.Expect(v.Status(usable, false, at(60_000)).InDoubt).To(BeTrue())
	g.Expect(v.Unreached(at(60_000))).To(BeEmpty())
}

// Guards against connections that are opened again and again while upstreams pause.
func TestNewConnectionVouchesForTheWay(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(1)
	v := newView(usable)
	v.Record(usable[0], reachability.Silent, at(1000))
	v.Record(usable[0], reachability.Connected, at(1030))
	v.Record(usable[0], reachability.Silent, at(1250))
	g.Expect(v.Status(usable, false, at(1500)).InDoubt).To(BeFalse())
	g.Expect(v.Status(usable, false, at(2100)).InDoubt).To(BeTrue())
}

func TestFewSilentUpstreamsOfManyLeaveNoDoubt(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(12)
	v := newView(usable)
	for _, u := range usable[:2] {
		v.Record(u, reachability.Silent, at(1000))
	}
	g.Expect(v.Status(usable, false, at(2000)).InDoubt).To(BeFalse())
	v.Record(usable[2], reachability.Silent, at(2000))
	g.Expect(v.Status(usable, false, at(2000)).InDoubt).To(BeTrue())
	g.Expect(v.Status(usable, false, at(12_500)).InDoubt).To(BeFalse(), "long ago")
}

// Whatever the contacts are, the way isn't lost right after all upstreams were heard from.
func TestWayIsNeverLostRightAfterContactWithAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usable := upstreams(rapid.IntRange(1, 20).Draw(t, "upstreams"))
		v := newView(usable)
		now := 0
		for range rapid.IntRange(0, 60).Draw(t, "contacts") {
			now += rapid.IntRange(0, 400).Draw(t, "pause")
			u := usable[rapid.IntRange(0, len(usable)-1).Draw(t, "upstream")]
			v.Record(u, reachability.Contact(rapid.IntRange(0, 4).Draw(t, "contact")), at(now))
		}
		for _, u := range usable {
			v.Record(u, reachability.Received, at(now))
		}
		if v.Status(usable, true, at(now)).CutOff {
			t.Fatal("the way counts as lost")
		}
	})
}

// Guards against requests that are refused because all upstreams lost a connection, without trying a new one.
func TestUpstreamsThatOnlyLostConnectionsAreLeftToTry(t *testing.T) {
	g := NewWithT(t)
	usable := upstreams(2)
	v := newView(usable)
	for _, u := range usable {
		v.Record(u, reachability.Lost, at(10))
	}
	status := v.Status(usable, false, at(500))
	g.Expect(status.CutOff).To(BeTrue())
	g.Expect(status.NoneReached()).To(BeFalse())
	v.Record(usable[0], reachability.NotConnected, at(500))
	g.Expect(v.Status(usable, false, at(500)).NoneReached()).To(BeTrue())
}
