package relay

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/admission"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/routing"
)

// endlessAdmission lets each request wait until its context ends.
type endlessAdmission struct{ Admission }

func (endlessAdmission) Acquire(ctx context.Context, _ string, _ admission.Work) (admission.Permit, error) {
	<-ctx.Done()
	return admission.Permit{}, refusal.Wrap(refusal.Overloaded, ctx.Err())
}

// newWaitingExchange returns an exchange of a call with 10 s left, whose like take a second.
func newWaitingExchange() (*exchange, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	s := New(Deps{Clock: clock, Admission: endlessAdmission{}}, DefaultOptions())
	x := &exchange{
		server: s, request: &Request{}, route: &routing.Route{Name: "r"},
		startedAt: clock.Now(), deadline: clock.Now().Add(10 * time.Second),
	}
	s.durations.Observe("r", 1, time.Second, clock.Now())
	return x, clock
}

// TestWaitForAdmissionEndsWhenGraceCannotHoldRequest guards against a request that waits until the end
// of a planned stop's grace, though it is known before that it can't be served.
func TestWaitForAdmissionEndsWhenGraceCannotHoldRequest(t *testing.T) {
	g := NewWithT(t)
	x, clock := newWaitingExchange()
	refused := make(chan *refusal.Refusal, 1)
	go func() { refused <- x.acquirePermit(t.Context()) }()
	x.server.BeginStop(clock.Now().Add(5 * time.Second))
	g.Expect(clock.BlockUntilContext(t.Context(), 1)).To(Succeed())
	clock.Advance(3 * time.Second)
	g.Consistently(refused, "50ms").ShouldNot(Receive())
	clock.Advance(1100 * time.Millisecond)
	var r *refusal.Refusal
	g.Eventually(refused).Should(Receive(&r))
	g.Expect(r.Reason).To(Equal(refusal.Draining))
}

// TestRequestIsRefusedOnceGraceCannotHoldIt guards against requests that are refused too soon, or too late.
func TestRequestIsRefusedOnceGraceCannotHoldIt(t *testing.T) {
	g := NewWithT(t)
	x, clock := newWaitingExchange()
	g.Expect(x.refuseUnfinishable()).To(BeNil())
	x.server.BeginStop(clock.Now().Add(5 * time.Second))
	clock.Advance(3900 * time.Millisecond)
	g.Expect(x.refuseUnfinishable()).To(BeNil())
	clock.Advance(200 * time.Millisecond)
	g.Expect(x.refuseUnfinishable()).NotTo(BeNil())
	x.deadline = clock.Now().Add(500 * time.Millisecond)
	g.Expect(x.refuseUnfinishable()).To(BeNil(), "the deadline is before the end of the grace")
}

// TestRequestOfUnknownDurationIsSentByWhatMayBeRepeated guards against a request that may run once only
// and is cut, as nothing was known of how long it takes.
func TestRequestOfUnknownDurationIsSentByWhatMayBeRepeated(t *testing.T) {
	g := NewWithT(t)
	x, clock := newWaitingExchange()
	x.server.BeginStop(clock.Now().Add(5 * time.Second))
	x.route = &routing.Route{Name: "once", TargetLatency: time.Second}
	g.Expect(x.refuseUnfinishable()).NotTo(BeNil())
	x.route = &routing.Route{Name: "resumable", Streaming: true, Resumable: true, TargetLatency: time.Second}
	g.Expect(x.refuseUnfinishable()).To(BeNil())
}

// TestSlowStreamIsMovedOnlyIfGraceHoldsIt guards against a stream that is moved to another upstream and cut there.
func TestSlowStreamIsMovedOnlyIfGraceHoldsIt(t *testing.T) {
	for name, c := range map[string]struct {
		grace time.Duration
		moved bool
	}{"held": {9 * time.Second, true}, "not held": {3 * time.Second, false}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			x, placement, clock := newStream(t, retry.Allowance{Slack: 10})
			x.modelIndex, placement.ends["large"] = 2, 2*time.Second
			x.server.durations.Observe("r", 30, 6*time.Second, clock.Now())
			a := runEvents(x, clock, 5, 900*time.Millisecond)
			x.server.BeginStop(clock.Now().Add(c.grace))
			g.Expect(a.shouldMove()).To(Equal(c.moved))
		})
	}
}

// TestRequestsThatStopEndsAreCounted guards against aborted requests that no counter shows, and against
// others that it does.
func TestRequestsThatStopEndsAreCounted(t *testing.T) {
	g := NewWithT(t)
	x, placement, _ := newStream(t, retry.Allowance{})
	x.server.Log = slog.New(slog.DiscardHandler)
	x.recordAborted(abortCut)
	x.server.record(x, "answer_cut", 0)
	g.Expect(placement.count("poplarshore_relay_aborted_total", "cut")).To(BeZero())
	x.server.Abort()
	x.recordAborted(abortCut)
	x.server.record(x, "draining", 0)
	g.Expect(placement.count("poplarshore_relay_aborted_total", "cut")).To(BeEquivalentTo(1))
}

// TestStopDoesNotPreventAttemptForWhichAnswerWasDropped guards against a request that ends without any answer: a stop that was
// expected to hold the next attempt when the answer was dropped is not any more a moment later, as others have taken long.
func TestStopDoesNotPreventAttemptForWhichAnswerWasDropped(t *testing.T) {
	g := NewWithT(t)
	x, clock := newWaitingExchange()
	x.server.BeginStop(clock.Now().Add(time.Second))
	clock.Advance(time.Second - time.Millisecond)
	g.Expect(x.refuseUnfinishable()).NotTo(BeNil())
	x.answerDropped = true
	g.Expect(x.refuseUnfinishable()).To(BeNil())
}
