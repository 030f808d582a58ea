package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/account"
)

// Work describes a request to be admitted.
type Work struct {
	Account account.ID
	// Priority is the priority level; higher levels are served first.
	Priority int
	// Deadline is the time by which the request has to be complete.
	Deadline time.Time
	// Cost is the size of the request, in tokens, and Bytes the memory that it takes while it
	// waits.
	Cost  float64
	Bytes int
	// Headroom is the part of a WindowGate's limit by which the request may exceed it. The caller
	// sets the same for all work of a priority. A few urgent requests then need not wait for the
	// end of a less urgent one where there are few places.
	Headroom float64
	// underShare is set by WindowAdmission for accounts that used no more than an even part
	// lately. If such an account has no waiters, its work is served before that of accounts that
	// have.
	underShare bool
}

// Waiter is queued work.
type Waiter struct {
	Work
	flow *flow
	// result, if set, receives exactly one value when the work leaves the queue: nil
	// if it may start, otherwise the refusal.
	result chan error
}

// Queue orders work by priority. Within a priority, client accounts are served by
// deficit round robin on cost, and the work of one account by earliest deadline. It
// is not safe for concurrent use.
type Queue struct {
	max     int
	quantum float64
	length  int
	// levels are sorted by descending priority.
	levels []*level
}

// level is the work of one priority.
type level struct {
	priority int
	// flows are the accounts with queued work in round-robin order; the first is
	// served next.
	flows []*flow
}

// flow is the queued work of one client account at one priority.
type flow struct {
	account account.ID
	level   *level
	// deficit is the cost that the flow may still start in this round, in tokens.
	deficit float64
	// needsQuantum reports that the flow has not received its quantum of this round.
	needsQuantum bool
	// goesFirst reports whether the flow is served before flows of accounts that used more.
	goesFirst bool
	// waiters are sorted by deadline.
	waiters []*Waiter
}

// NewQueue returns a queue of at most max waiters. The quantum is the cost in tokens
// that an account may start per round.
func NewQueue(max int, quantum float64) *Queue {
	return &Queue{max: max, quantum: quantum}
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.length }

// CountAhead returns the number of waiters that would start before new work of the
// account: all of higher priority, and at equal priority those that the round robin
// serves first.
func (q *Queue) CountAhead(priority int, id account.ID) int {
	n := 0
	for _, lvl := range q.levels {
		if lvl.priority < priority {
			break
		}
		if lvl.priority > priority {
			n += lvl.countWaiters(q.max)
			continue
		}
		n += lvl.countWaiters(lvl.accountWaiters(id) + 1)
	}
	return n
}

// countBefore returns the number of waiters that would start before new work, as CountAhead does,
// but of the same account only those with an earlier deadline.
func (q *Queue) countBefore(w Work) int {
	n := 0
	for _, lvl := range q.levels {
		if lvl.priority > w.Priority {
			n += lvl.countWaiters(q.max)
		}
		if lvl.priority == w.Priority {
			if w.underShare && lvl.accountWaiters(w.Account) == 0 {
				n += lvl.firstFlows()
				continue
			}
			earlier := lvl.earlierWaiters(w)
			n += lvl.countWaiters(earlier+1) + earlier - min(lvl.accountWaiters(w.Account), earlier+1)
		}
	}
	return n
}

// firstFlows returns the number of flows that go first.
func (l *level) firstFlows() int {
	n := 0
	for _, f := range l.flows {
		if f.goesFirst {
			n++
		}
	}
	return n
}

// earlierWaiters returns the number of waiters of the same account with an earlier deadline.
func (l *level) earlierWaiters(w Work) int {
	for _, f := range l.flows {
		if f.account == w.Account {
			i, _ := slices.BinarySearchFunc(f.waiters, w.Deadline, func(x *Waiter, d time.Time) int { return x.Deadline.Compare(d) })
			return i
		}
	}
	return 0
}

// countWaiters returns the number of waiters, counting at most maxPerAccount of each
// account.
func (l *level) countWaiters(maxPerAccount int) int {
	n := 0
	for _, f := range l.flows {
		n += min(len(f.waiters), maxPerAccount)
	}
	return n
}

// Push queues work. If the queue is full, it evicts and returns the waiter with the
// latest deadline of the account with the most waiters at the lowest priority. If
// that would be the new work itself, ok is false and the queue is unchanged.
func (q *Queue) Push(w Work) (added, evicted *Waiter, ok bool) {
	if q.length >= q.max {
		if evicted, ok = q.evict(w); !ok {
			return nil, nil, false
		}
	}
	added = &Waiter{Work: w}
	added.flow = q.level(w.Priority).flow(w.Account)
	if w.underShare && len(added.flow.waiters) == 0 {
		added.flow.goFirst(w.Cost)
	}
	added.flow.insert(added)
	q.length++
	return added, evicted, true
}

// evict removes a waiter to make room for w. It returns false if w itself has the
// lowest rank.
func (q *Queue) evict(w Work) (*Waiter, bool) {
	if len(q.levels) == 0 {
		return nil, false
	}
	lowestLevel := q.levels[len(q.levels)-1]
	longestFlow := slices.MaxFunc(lowestLevel.flows, func(a, b *flow) int {
		return cmp.Compare(len(a.waiters), len(b.waiters))
	})
	if lowestLevel.priority > w.Priority {
		return nil, false
	}
	if lowestLevel.priority == w.Priority && len(longestFlow.waiters) <= lowestLevel.accountWaiters(w.Account)+1 {
		return nil, false
	}
	victim := longestFlow.waiters[len(longestFlow.waiters)-1]
	q.Remove(victim)
	return victim, true
}

// accountWaiters returns the number of waiters of the account.
func (l *level) accountWaiters(id account.ID) int {
	for _, f := range l.flows {
		if f.account == id {
			return len(f.waiters)
		}
	}
	return 0
}

// headroom returns the headroom of the work that is served next; zero without any.
func (q *Queue) headroom() float64 {
	if q.length == 0 {
		return 0
	}
	return q.levels[0].flows[0].waiters[0].Headroom
}

// isOverShare reports whether the account has more than an even part of the waiters of its
// priority.
func (q *Queue) isOverShare(priority int, id account.ID) bool {
	for _, l := range q.levels {
		if l.priority == priority {
			return l.accountWaiters(id)*len(l.flows) > l.countWaiters(q.max)
		}
	}
	return false
}

// level returns the level of the priority, which it creates if needed.
func (q *Queue) level(priority int) *level {
	i, ok := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int {
		return cmp.Compare(p, l.priority)
	})
	if !ok {
		q.levels = slices.Insert(q.levels, i, &level{priority: priority})
	}
	return q.levels[i]
}

// flow returns the flow of the account, which it creates at the end of the round if
// needed.
func (l *level) flow(id account.ID) *flow {
	for _, f := range l.flows {
		if f.account == id {
			return f
		}
	}
	f := &flow{account: id, level: l, needsQuantum: true}
	l.flows = append(l.flows, f)
	return f
}

// goFirst lets a new flow be served after those that go first already, and before the others.
func (f *flow) goFirst(cost float64) {
	l := f.level
	l.flows = l.flows[:len(l.flows)-1]
	i := slices.IndexFunc(l.flows, func(x *flow) bool { return !x.goesFirst })
	if i < 0 {
		i = len(l.flows)
	}
	l.flows = slices.Insert(l.flows, i, f)
	f.goesFirst, f.needsQuantum, f.deficit = true, false, cost
}

func (f *flow) insert(w *Waiter) {
	i, _ := slices.BinarySearchFunc(f.waiters, w, func(a, b *Waiter) int {
		if a.Deadline.After(b.Deadline) {
			return 1
		}
		return -1
	})
	f.waiters = slices.Insert(f.waiters, i, w)
}

// Remove removes a waiter. It returns false if the waiter is no longer queued.
func (q *Queue) Remove(w *Waiter) bool {
	i := slices.Index(w.flow.waiters, w)
	if i < 0 {
		return false
	}
	w.flow.waiters = slices.Delete(w.flow.waiters, i, i+1)
	q.length--
	q.removeIfEmpty(w.flow)
	return true
}

// removeIfEmpty removes an empty flow, and its level if that is then empty too.
func (q *Queue) removeIfEmpty(f *flow) {
	if len(f.waiters) > 0 {
		return
	}
	l := f.level
	l.flows = slices.DeleteFunc(l.flows, func(x *flow) bool { return x == f })
	if len(l.flows) == 0 {
		q.levels = slices.DeleteFunc(q.levels, func(x *level) bool { return x == l })
	}
}

// Pop removes and returns the next waiter, nil if there is none. The late waiters,
// whose deadline is before the expected completion, are removed on the way.
func (q *Queue) Pop(completion time.Time) (next *Waiter, late []*Waiter) {
	for len(q.levels) > 0 {
		f := q.levels[0].nextFlow(q.quantum)
		w := f.waiters[0]
		q.Remove(w)
		if completion.After(w.Deadline) {
			late = append(late, w)
			continue
		}
		f.deficit -= w.Cost
		f.goesFirst = false
		return w, late
	}
	return nil, late
}

// nextFlow returns the next flow in round-robin order whose deficit covers the cost
// of its first waiter. A flow that is alone is always served.
func (l *level) nextFlow(quantum float64) *flow {
	for {
		f := l.flows[0]
		if f.needsQuantum {
			f.needsQuantum = false
			f.deficit += quantum
		}
		if len(l.flows) == 1 || f.deficit >= f.waiters[0].Cost {
			f.deficit = max(f.deficit, f.waiters[0].Cost)
			return f
		}
		f.needsQuantum = true
		l.flows = append(l.flows[1:], f)
	}
}
