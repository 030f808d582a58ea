package coldstart_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/coldstart"
)

const length = 3 * time.Second

var start = time.Unix(1_000_000, 0)

// at returns the time some milliseconds after the start of a test.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestUnknownUpstreamIsNotCold(t *testing.T) {
	NewWithT(t).Expect((&coldstart.State{}).Cold(length, start)).To(BeFalse())
}

func TestReportLastsAsLongAsReported(t *testing.T) {
	g := NewWithT(t)
	var entry, answer coldstart.State
	entry.ReportByEntry(time.Second, at(0))
	answer.ReportByAnswer(time.Second, at(-10), at(0))
	for _, s := range []coldstart.State{entry, answer} {
		g.Expect(s.Cold(length, at(999))).To(BeTrue())
		g.Expect(s.Cold(length, at(1000))).To(BeFalse())
	}
}

// TestSuspicionLastsUntilReachedForAColdStart guards against a burst at an upstream that was
// down for longer than a cold start takes.
func TestSuspicionLastsUntilReachedForAColdStart(t *testing.T) {
	for _, cause := range []coldstart.Cause{coldstart.Contact, coldstart.Hint, coldstart.NewEntry, coldstart.Evacuation} {
		t.Run(cause.String(), func(t *testing.T) {
			g := NewWithT(t)
			var s coldstart.State
			s.Suspect(cause, at(0))
			g.Expect(s.Cold(length, at(3_600_000))).To(BeTrue(), "it was not reached")
			s.Reach(at(3_600_000), at(3_600_100))
			s.Reach(at(3_600_200), at(3_600_300))
			g.Expect(s.Cold(length, at(3_603_099))).To(BeTrue())
			g.Expect(s.Cold(length, at(3_603_100))).To(BeFalse())
		})
	}
}

func TestNewSuspicionBeginsAnew(t *testing.T) {
	g := NewWithT(t)
	var s coldstart.State
	s.Suspect(coldstart.Contact, at(0))
	s.Reach(at(10), at(20))
	s.Suspect(coldstart.Contact, at(1000))
	g.Expect(s.Cold(length, at(60_000))).To(BeTrue())
}

// TestContinuedAnswerEndsSuspicionOfContact guards against sound upstreams that are limited
// because one of their connections was reset.
func TestContinuedAnswerEndsSuspicionOfContact(t *testing.T) {
	g := NewWithT(t)
	var s coldstart.State
	s.Suspect(coldstart.Contact, at(0))
	s.Reach(at(-500), at(100))
	g.Expect(s.Cold(length, at(100))).To(BeTrue(), "this part was under way")
	s.Reach(at(-500), at(300))
	g.Expect(s.Cold(length, at(300))).To(BeFalse())
}

func TestContinuedAnswerDoesNotEndOtherSuspicions(t *testing.T) {
	g := NewWithT(t)
	var s coldstart.State
	s.Suspect(coldstart.Evacuation, at(0))
	s.Suspect(coldstart.Contact, at(1))
	s.Reach(at(-500), at(300))
	s.ForgetContact()
	g.Expect(s.Cold(length, at(300))).To(BeTrue())
}

// TestEntryEndsOnlyOlderSuspicions guards against an entry that was written before the
// upstream ended and is read after.
func TestEntryEndsOnlyOlderSuspicions(t *testing.T) {
	g := NewWithT(t)
	var s coldstart.State
	s.Suspect(coldstart.Contact, at(0))
	s.ReportByEntry(0, at(500))
	g.Expect(s.Cold(length, at(500))).To(BeTrue())
	s.ReportByEntry(0, at(4000))
	g.Expect(s.Cold(length, at(4000))).To(BeFalse())
	s.Suspect(coldstart.NewEntry, at(5000))
	s.ReportByEntry(2*time.Second, at(5000))
	g.Expect(s.Cold(length, at(6999))).To(BeTrue())
	g.Expect(s.Cold(length, at(7000))).To(BeFalse(), "the entry says for how long")
}

func TestAnswerEndsOnlyEarlierSuspicions(t *testing.T) {
	g := NewWithT(t)
	var s coldstart.State
	s.Suspect(coldstart.Contact, at(100))
	s.ReportByAnswer(0, at(50), at(200))
	g.Expect(s.Cold(length, at(200))).To(BeTrue())
	s.ReportByAnswer(0, at(150), at(300))
	g.Expect(s.Cold(length, at(300))).To(BeFalse())
}

func TestStartCountsByWallClock(t *testing.T) {
	g := NewWithT(t)
	var s coldstart.State
	s.Start(at(0))
	g.Expect(s.Cold(length, at(2999))).To(BeTrue())
	g.Expect(s.Cold(length, at(3000))).To(BeFalse())
	g.Expect(s.Cold(length, at(-3000))).To(BeFalse(), "the clocks differ")
}

func TestCutOffVMForgetsItsSuspicions(t *testing.T) {
	g := NewWithT(t)
	var s coldstart.State
	s.Suspect(coldstart.Contact, at(0))
	s.ForgetContact()
	g.Expect(s.Cold(length, at(0))).To(BeFalse())
}

// TestSuspectedUpstreamStaysColdUntilEvidence draws events that are no evidence and checks that
// none of them ends a suspicion.
func TestSuspectedUpstreamStaysColdUntilEvidence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var s coldstart.State
		suspected := rapid.IntRange(0, 1000).Draw(rt, "suspected")
		s.Suspect(coldstart.NewEntry, at(suspected))
		now := suspected
		for _, event := range rapid.SliceOf(rapid.IntRange(0, 3)).Draw(rt, "events") {
			now += rapid.IntRange(0, 500).Draw(rt, "ms")
			switch event {
			case 0:
				s.Reach(at(suspected-1), at(now))
			case 1:
				s.ReportByAnswer(0, at(suspected-1), at(now))
			case 2:
				s.ForgetContact()
			case 3:
				s.Suspect(coldstart.Hint, at(now))
				suspected = now
			}
			if !s.Cold(length, at(now)) {
				rt.Fatalf("not cold after event %d", event)
			}
		}
	})
}
