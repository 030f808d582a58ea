package limit

import (
	"time"

	"github.com/poplarshore/poplarshore/refusal"
)

// WindowAdmissionOptions configures a WindowAdmission.
type WindowAdmissionOptions struct {
	// Window configures the limit on requests in flight.
	Window WindowOptions
	// MaxQueued and MaxQueuedBytes bound the queue, in requests and in bytes of their bodies.
	MaxQueued, MaxQueuedBytes int
	// MaxWait is the longest time in the queue.
	MaxWait time.Duration
	// Quantum is the cost in tokens that an account may start per round.
	Quantum float64
	// InitialServiceTime is the expected time in flight of a request until one has been
	// measured.
	InitialServiceTime time.Duration
}

// DefaultWindowAdmissionOptions returns the default options.
func DefaultWindowAdmissionOptions() WindowAdmissionOptions {
	return WindowAdmissionOptions{
		Window: DefaultWindowOptions(), MaxQueued: 1024, MaxQueuedBytes: 8 << 20, MaxWait: 10 * time.Second,
		Quantum: defaultQuantum, InitialServiceTime: time.Second,
	}
}

// overShareReserve is the part of the limit that accounts which used more than an even part lately
// leave to the others.
const overShareReserve = 0.2

// waitMargin is the ratio of the expected wait to the time left from which work is refused at
// once. Estimates of few places vary much: with a ratio of 1, places went to work that was late
// already.
const waitMargin = 2

// overShareFactor multiplies the retry delay of an account that has more than its even part of
// the queue.
const overShareFactor = 2

// WindowAdmission decides which requests for one service may start on this VM: all of them
// while its Window sets no limit, otherwise as many as that allows, the others in queue order.
// The deadline of its work is the time by which the work has to start. It is the synchronous
// part of WindowGate and not safe for concurrent use.
type WindowAdmission struct {
	opts        WindowAdmissionOptions
	window      *Window
	queue       *Queue
	usage       *accountUsage
	queuedBytes int
	inFlight    int
	serviceTime time.Duration
}

// NewWindowAdmission returns a WindowAdmission with no requests in flight and without a limit.
// draw returns random numbers in [0, 1).
func NewWindowAdmission(opts WindowAdmissionOptions, draw func() float64) *WindowAdmission {
	return &WindowAdmission{
		opts: opts, window: NewWindow(opts.Window, draw), queue: NewQueue(opts.MaxQueued, opts.Quantum),
		usage:       newAccountUsage(),
		serviceTime: opts.InitialServiceTime,
	}
}

// BeginLimited sets a limit that grows fast; see Window.Begin.
func (a *WindowAdmission) BeginLimited(limit float64, now time.Time) { a.window.Begin(limit, now) }

// Offer starts, queues or refuses the work. If the work may start, waiter and err are nil; if
// it is queued, waiter is set. The evicted waiters were removed from the full queue in favour
// of this work and have to be refused. The error is a *refusal.Refusal with an estimated retry
// delay.
func (a *WindowAdmission) Offer(w Work, now time.Time) (waiter *Waiter, evicted []*Waiter, err error) {
	if !a.usage.isUnderShare(w.Account) {
		w.Headroom -= overShareReserve
	} else {
		w.underShare = true
	}
	if a.queue.Len() == 0 && a.window.Allow(a.inFlight, w.Headroom, now) {
		a.begin(w, now)
		return nil, nil, nil
	}
	wait := a.EstimateWait(w)
	latest := now.Add(a.opts.MaxWait)
	if w.Deadline.After(latest) {
		w.Deadline = latest
	}
	if now.Add(wait / waitMargin).After(w.Deadline) {
		return nil, nil, refusal.New(refusal.Overloaded).WithRetryAfter(a.RetryAfter(w))
	}
	if w.Bytes > a.opts.MaxQueuedBytes {
		return nil, nil, refusal.New(refusal.QueueFull).WithRetryAfter(a.RetryAfter(w))
	}
	for a.queuedBytes+w.Bytes > a.opts.MaxQueuedBytes {
		victim, ok := a.queue.evict(w)
		if !ok {
			return nil, evicted, refusal.New(refusal.QueueFull).WithRetryAfter(a.RetryAfter(w))
		}
		a.queuedBytes -= victim.Bytes
		evicted = append(evicted, victim)
	}
	waiter, victim, ok := a.queue.Push(w)
	if !ok {
		return nil, evicted, refusal.New(refusal.QueueFull).WithRetryAfter(a.RetryAfter(w))
	}
	a.queuedBytes += w.Bytes
	if victim != nil {
		a.queuedBytes -= victim.Bytes
		evicted = append(evicted, victim)
	}
	return waiter, evicted, nil
}

// begin counts work as in flight.
func (a *WindowAdmission) begin(w Work, now time.Time) {
	a.inFlight++
	a.usage.add(w.Account, w.Cost, now)
}

// Observe records what an attempt of started work tells of its upstream.
func (a *WindowAdmission) Observe(s Signal, now time.Time) { a.window.Observe(s, a.inFlight, now) }

// Done records the end of started work that was in flight for the given time. Work that no
// upstream served gives its place back without changing the expected time in flight.
func (a *WindowAdmission) Done(took time.Duration, served bool) {
	a.inFlight--
	if served {
		a.serviceTime += time.Duration(serviceTimeWeight * float64(took-a.serviceTime))
	}
}

// Start removes the waiters that may start now from the queue, and the late ones that have to be
// refused.
func (a *WindowAdmission) Start(now time.Time) (started, late []*Waiter) {
	for a.queue.Len() > 0 && a.window.Allow(a.inFlight, a.queue.headroom(), now) {
		next, expired := a.queue.Pop(now)
		for _, w := range expired {
			a.queuedBytes -= w.Bytes
		}
		late = append(late, expired...)
		if next != nil {
			a.queuedBytes -= next.Bytes
			a.begin(next.Work, now)
			started = append(started, next)
		}
	}
	return started, late
}

// Cancel removes a waiter from the queue. It returns false if the waiter is no longer queued.
func (a *WindowAdmission) Cancel(w *Waiter) bool {
	if !a.queue.Remove(w) {
		return false
	}
	a.queuedBytes -= w.Bytes
	return true
}

// EstimateWait estimates the queueing time of new work with the same account and priority, by
// Little's law.
func (a *WindowAdmission) EstimateWait(w Work) time.Duration {
	limit := a.window.Limit() * (1 + w.Headroom)
	if limit == 0 {
		return 0
	}
	ahead := float64(a.queue.countBefore(w)) + max(float64(a.inFlight)-limit, 0)
	return time.Duration((ahead + 1) / limit * float64(a.serviceTime))
}

// RetryAfter returns when refused work may come back: after the expected wait, and later for an
// account that has more than its even part of the queue.
func (a *WindowAdmission) RetryAfter(w Work) time.Duration {
	wait := max(a.EstimateWait(w), a.serviceTime)
	if a.queue.isOverShare(w.Priority, w.Account) {
		wait *= overShareFactor
	}
	return wait
}

// WindowStats are the current numbers of a WindowAdmission, in requests.
type WindowStats struct {
	InFlight, Waiting int
	// Limit is the limit on requests in flight; zero if there is none.
	Limit float64
}

// Stats returns the current numbers.
func (a *WindowAdmission) Stats() WindowStats {
	return WindowStats{InFlight: a.inFlight, Waiting: a.queue.Len(), Limit: a.window.Limit()}
}
