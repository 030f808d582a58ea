package limit

import (
	"time"

	"github.com/poplarshore/poplarshore/refusal"
)

// AdmissionOptions configures an Admission.
type AdmissionOptions struct {
	// Adaptive configures the concurrency limit.
	Adaptive AdaptiveOptions
	// MaxQueued is the maximum number of queued requests.
	MaxQueued int
	// Quantum is the cost in tokens that an account may start per round.
	Quantum float64
	// InitialServiceTime is the expected service time of a request until one has
	// been measured.
	InitialServiceTime time.Duration
}

// Admission decides which requests for one model may start on this VM: up to the
// adaptive limit at once, the others in queue order. It refuses work at once that
// is not expected to complete by its deadline. It is the synchronous part of Gate
// and not safe for concurrent use.
type Admission struct {
	adaptive    *Adaptive
	queue       *Queue
	inFlight    int
	serviceTime time.Duration
}

// NewAdmission returns an Admission with no requests in flight.
func NewAdmission(opts AdmissionOptions) *Admission {
	return &Admission{
		adaptive:    NewAdaptive(opts.Adaptive),
		queue:       NewQueue(opts.MaxQueued, opts.Quantum),
		serviceTime: opts.InitialServiceTime,
	}
}

// Offer starts, queues or refuses the work. If the work may start, waiter and err
// are nil; if it is queued, waiter is set. A non-nil evicted waiter was removed
// from the full queue in favour of this work and has to be refused. The error is
// a *refusal.Refusal with an estimated retry delay.
func (a *Admission) Offer(w Work, now time.Time) (waiter, evicted *Waiter, err error) {
	if a.inFlight < a.adaptive.Limit() && a.queue.Len() == 0 {
		a.inFlight++
		return nil, nil, nil
	}
	wait := a.EstimateWait(w)
	if now.Add(wait + a.serviceTime).After(w.Deadline) {
		return nil, nil, refusal.New(refusal.Overloaded).WithRetryAfter(wait)
	}
	waiter, evicted, ok := a.queue.Push(w)
	if !ok {
		return nil, nil, refusal.New(refusal.QueueFull).WithRetryAfter(wait)
	}
	return waiter, evicted, nil
}

// Done records the end of started work that was in flight for the given latency.
// It returns the waiters that start now, and the late ones that have to be refused
// because they are not expected to complete by their deadline.
func (a *Admission) Done(latency time.Duration, o Outcome, now time.Time) (started, late []*Waiter) {
	a.adaptive.Observe(o, a.inFlight, now)
	a.inFlight--
	if o.FirstToken > 0 {
		a.serviceTime += time.Duration(serviceTimeWeight * float64(latency-a.serviceTime))
	}
	for a.inFlight < a.adaptive.Limit() && a.queue.Len() > 0 {
		next, expired := a.queue.Pop(now.Add(a.serviceTime))
		late = append(late, expired...)
		if next != nil {
			a.inFlight++
			started = append(started, next)
		}
	}
	return started, late
}

// Cancel removes a waiter from the queue. It returns false if the waiter is no
// longer queued.
func (a *Admission) Cancel(w *Waiter) bool { return a.queue.Remove(w) }

// EstimateWait estimates the queueing time of new work with the same account and
// priority, by Little's law.
func (a *Admission) EstimateWait(w Work) time.Duration {
	rounds := float64(a.queue.CountAhead(w.Priority, w.Account)+1) / float64(a.adaptive.Limit())
	return time.Duration(rounds * float64(a.serviceTime))
}

// Stats returns the current numbers for metrics.
func (a *Admission) Stats() GateStats {
	return GateStats{InFlight: a.inFlight, Waiting: a.queue.Len(), Limit: a.adaptive.Limit()}
}
