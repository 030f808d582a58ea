package egress_test

import (
	"bytes"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/internal/egress"
)

// caller is the connection to a caller that takes what it is sent only while it is open.
type caller struct {
	open    chan struct{}
	expired chan struct{}
	once    sync.Once

	mu       sync.Mutex
	got      bytes.Buffer
	canceled bool
}

func newCaller(open bool) *caller {
	c := &caller{open: make(chan struct{}), expired: make(chan struct{})}
	if open {
		close(c.open)
	}
	return c
}

// Write implements egress.Destination.
func (c *caller) Write(b []byte) (int, error) {
	select {
	case <-c.open:
	case <-c.expired:
		return 0, os.ErrDeadlineExceeded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.got.Write(b)
}

// Flush implements egress.Destination.
func (c *caller) Flush() error { return nil }

// SetWriteDeadline implements egress.Destination.
func (c *caller) SetWriteDeadline(at time.Time) error {
	if at.Before(time.Now()) {
		c.once.Do(func() { close(c.expired) })
	}
	return nil
}

func (c *caller) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = true
}

func (c *caller) isCanceled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canceled
}

func (c *caller) received() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.got.String()
}

// bench is a Tracker with a fake clock and the errors of the callers that it ended.
type bench struct {
	*WithT
	*egress.Tracker
	clock *clockwork.FakeClock
	ended chan error
}

func newBench(t *testing.T, change func(*egress.Options)) *bench {
	b := &bench{WithT: NewWithT(t), clock: clockwork.NewFakeClock(), ended: make(chan error, 16)}
	opts := egress.DefaultOptions()
	change(&opts)
	b.Tracker = egress.NewTracker(opts, b.clock, func(err error) { b.ended <- err })
	return b
}

func (b *bench) begin(owner account.ID, c *caller) *egress.Writer { return b.Begin(owner, c, c.cancel) }

// TestUpstreamIsReadOnWhileCallerReadsSlowly guards against an upstream that cuts off its
// response because a caller reads slowly for a moment.
func TestUpstreamIsReadOnWhileCallerReadsSlowly(t *testing.T) {
	b := newBench(t, func(*egress.Options) {})
	c := newCaller(false)
	w := b.begin("a", c)
	for range 20 {
		b.Expect(w.Send([]byte("data: 1\n\n"))).To(Succeed())
	}
	b.Expect(b.HeldBytes()).To(Equal(180))
	close(c.open)
	b.Expect(w.Close()).To(Succeed())
	b.Expect(c.received()).To(HaveLen(180))
	b.Expect(b.HeldBytes()).To(BeZero())
	b.Expect(c.isCanceled()).To(BeFalse())
}

// TestCallerThatHoldsUpItsUpstreamIsEnded guards against an upstream that waits for a caller
// until it cuts off the response.
func TestCallerThatHoldsUpItsUpstreamIsEnded(t *testing.T) {
	b := newBench(t, func(o *egress.Options) { o.MaxAnswerBytes = 100 })
	c := newCaller(false)
	w := b.begin("a", c)
	b.Expect(w.Send(make([]byte, 90))).To(Succeed())
	sent := make(chan error, 1)
	go func() { sent <- w.Send(make([]byte, 90)) }()
	b.Expect(b.clock.BlockUntilContext(t.Context(), 1)).To(Succeed())
	b.clock.Advance(egress.DefaultOptions().MaxHoldUp)
	var err error
	b.Eventually(sent).Should(Receive(&err))
	b.Expect(err).To(MatchError(ContainSubstring("upstream_held_up")))
	b.Expect(w.Close()).NotTo(Succeed())
	b.Expect(c.isCanceled()).To(BeTrue())
	b.Expect(b.HeldBytes()).To(BeZero())
}

// TestUpstreamWaitsForCallerThatReadsOn guards against callers that are ended though they read
// on within the time that upstreams allow.
func TestUpstreamWaitsForCallerThatReadsOn(t *testing.T) {
	b := newBench(t, func(o *egress.Options) { o.MaxAnswerBytes = 100 })
	c := newCaller(false)
	w := b.begin("a", c)
	b.Expect(w.Send(make([]byte, 90))).To(Succeed())
	sent := make(chan error, 1)
	go func() { sent <- w.Send(make([]byte, 90)) }()
	b.Expect(b.clock.BlockUntilContext(t.Context(), 1)).To(Succeed())
	close(c.open)
	b.Eventually(sent).Should(Receive(BeNil()))
	b.Expect(w.Close()).To(Succeed())
	b.Expect(c.received()).To(HaveLen(180))
}

// TestSlowestCallerOfAccountIsEndedFirst guards against callers of other accounts, and callers
// that read well, that are ended for the bytes held for an account.
func TestSlowestCallerOfAccountIsEndedFirst(t *testing.T) {
	b := newBench(t, func(o *egress.Options) { o.MaxAccountBytes = 100 })
	slowest, slow, other := newCaller(false), newCaller(false), newCaller(false)
	otherWriter := b.begin("b", other)
	b.Expect(otherWriter.Send(make([]byte, 60))).To(Succeed())
	b.clock.Advance(time.Second)
	slowestWriter := b.begin("a", slowest)
	b.Expect(slowestWriter.Send(make([]byte, 60))).To(Succeed())
	b.clock.Advance(time.Second)
	slowWriter := b.begin("a", slow)
	b.Expect(slowWriter.Send(make([]byte, 60))).To(Succeed())
	b.Expect(b.ended).To(Receive(MatchError(ContainSubstring("account_bytes"))))
	b.Expect(slowest.isCanceled()).To(BeTrue())
	b.Expect(slow.isCanceled()).To(BeFalse())
	b.Expect(other.isCanceled()).To(BeFalse())
	b.Expect(b.HeldBytes()).To(Equal(120))
	for _, w := range []*egress.Writer{slowestWriter, slowWriter, otherWriter} {
		w.End()
	}
	b.Expect(b.HeldBytes()).To(BeZero())
}

// TestSlowestCallerOfVMIsEndedFirst guards against memory that fills with the answers of many
// accounts' slow callers.
func TestSlowestCallerOfVMIsEndedFirst(t *testing.T) {
	b := newBench(t, func(o *egress.Options) { o.MaxBytes = 100 })
	slowest, slow := newCaller(false), newCaller(false)
	slowestWriter := b.begin("a", slowest)
	b.Expect(slowestWriter.Send(make([]byte, 60))).To(Succeed())
	b.clock.Advance(time.Second)
	slowWriter := b.begin("b", slow)
	b.Expect(slowWriter.Send(make([]byte, 60))).To(Succeed())
	b.Expect(b.ended).To(Receive(MatchError(ContainSubstring("vm_bytes"))))
	b.Expect(slowest.isCanceled()).To(BeTrue())
	b.Expect(slow.isCanceled()).To(BeFalse())
	slowestWriter.End()
	slowWriter.End()
}

// pipeDestination writes to a connection that nobody may read.
type pipeDestination struct{ net.Conn }

// Flush implements egress.Destination.
func (pipeDestination) Flush() error { return nil }

// TestCallerThatTakesNothingIsEnded guards against a write that blocks for as long as the
// caller keeps its connection.
func TestCallerThatTakesNothingIsEnded(t *testing.T) {
	b := newBench(t, func(o *egress.Options) { o.WriteTimeout = 20 * time.Millisecond })
	near, far := net.Pipe()
	defer far.Close()
	canceled := make(chan struct{})
	w := b.Begin("a", pipeDestination{near}, func() { close(canceled) })
	b.Expect(w.SendWhole(make([]byte, 100_000))).To(Succeed())
	b.Expect(w.Close()).To(MatchError(ContainSubstring("write_timeout")))
	b.Expect(canceled).To(BeClosed())
	b.Expect(b.ended).To(Receive())
	b.Expect(b.HeldBytes()).To(BeZero())
}

// TestCallerThatLeavesIsNotCountedAsSlow guards against a counter of slow callers that counts
// those that closed their connection.
func TestCallerThatLeavesIsNotCountedAsSlow(t *testing.T) {
	b := newBench(t, func(*egress.Options) {})
	near, far := net.Pipe()
	b.Expect(far.Close()).To(Succeed())
	w := b.Begin("a", pipeDestination{near}, func() {})
	_ = w.Send([]byte("x"))
	b.Expect(w.Close()).To(MatchError(ContainSubstring("caller_gone")))
	b.Expect(b.ended).NotTo(Receive())
}
