package limit

import (
	"time"

	"github.com/poplarshore/poplarshore/refusal"
)

// AdmissionOptions set up an Admission.
type AdmissionOptions struct {
	Adaptive AdaptiveOptions
	// Queue bounds the waiters.
	Queue int
	// Quantum is the cost that an account may start in one turn, in tokens.
	Quantum float64
	// Hold stands in for the holding time until one was measured.
	Hold time.Duration
}

// Admission decides which work for one model may start on this VM: as much as
// the adaptive limit allows, the rest in the order of the queue. Work that would
// not be done by its deadline is refused at once. It is the pure part of Gate and
// not safe for concurrent use.
type Admission struct {
	adaptive *Adaptive
	queue    *Queue
	inFlight int
	hold     time.Duration
}

// NewAdmission returns an admission with nothing in flight.
func NewAdmission(opts AdmissionOptions) *Admission {
	return &Admission{
		adaptive: NewAdaptive(opts.Adaptive),
		queue:    NewQueue(opts.Queue, opts.Quantum),
		hold:     opts.Hold,
	}
}

// Offer lets the work start (no waiter), queues it or refuses it. The evicted
// waiter, if any, gave way to it and is refused.
func (a *Admission) Offer(w Work, now time.Time) (waiter, evicted *Waiter, err error) {
	if a.inFlight < a.adaptive.Limit() && a.queue.Len() == 0 {
		a.inFlight++
		return nil, nil, nil
	}
	wait := a.Wait(w)
	if now.Add(wait + a.hold).After(w.Deadline) {
		return nil, nil, refusal.New(refusal.Overloaded).After(wait)
	}
	waiter, evicted, ok := a.queue.Push(w)
	if !ok {
		return nil, nil, refusal.New(refusal.QueueFull).After(wait)
	}
	return waiter, evicted, nil
}

// Done ends work that started. It returns the waiters that start now and those
// that are refused because they would not be done by their deadline.
func (a *Admission) Done(held time.Duration, o Outcome, now time.Time) (started, late []*Waiter) {
	a.adaptive.Observe(o, a.inFlight, now)
	a.inFlight--
	if o.FirstToken > 0 {
		a.hold += time.Duration(holdWeight * float64(held-a.hold))
	}
	for a.inFlight < a.adaptive.Limit() && a.queue.Len() > 0 {
		next, tooLate := a.queue.Pop(now.Add(a.hold))
		late = append(late, tooLate...)
		if next != nil {
			a.inFlight++
			started = append(started, next)
		}
	}
	return started, late
}

// Quit takes a waiter out; it returns false if it has left before.
func (a *Admission) Quit(w *Waiter) bool { return a.queue.Remove(w) }

// Wait estimates how long new work like this waits, by Little's law.
func (a *Admission) Wait(w Work) time.Duration {
	turns := float64(a.queue.Before(w.Priority, w.Account)+1) / float64(a.adaptive.Limit())
	return time.Duration(turns * float64(a.hold))
}

// State returns the numbers for metrics.
func (a *Admission) State() State {
	return State{InFlight: a.inFlight, Waiting: a.queue.Len(), Limit: a.adaptive.Limit()}
}
