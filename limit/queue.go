package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/account"
)

// Work is a request that waits for its turn.
type Work struct {
	Account account.ID
	// Priority puts work before all work of a lower one.
	Priority int
	// Deadline is when the work must be done.
	Deadline time.Time
	// Cost is the size of the request, in tokens.
	Cost float64
}

// Waiter is work in a Queue.
type Waiter struct {
	Work
	lane *lane
	// verdict, if set, is told once whether the work may start.
	verdict chan error
}

// Queue holds work by priority. Within a priority, client accounts take turns
// by deficit round robin on cost, and an account's own work goes by deadline.
// It is not safe for concurrent use.
type Queue struct {
	max     int
	quantum float64
	length  int
	// levels are sorted by falling priority.
	levels []*level
}

// level is the work of one priority.
type level struct {
	priority int
	// lanes are the accounts with work; the first has its turn.
	lanes []*lane
}

// lane is the work of one client account at one priority.
type lane struct {
	account account.ID
	level   *level
	deficit float64
	// fresh tells that the lane has not yet had its quantum of this turn.
	fresh bool
	// waiters are sorted by deadline.
	waiters []*Waiter
}

// NewQueue returns a queue of at most max waiters. Quantum is the cost that an
// account may start in one turn.
func NewQueue(max int, quantum float64) *Queue {
	return &Queue{max: max, quantum: quantum}
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.length }

// Before returns the number of waiters that would start before new work of an
// account: all of a higher priority, and those whose turns come first.
func (q *Queue) Before(priority int, id account.ID) int {
	n := 0
	for _, l := range q.levels {
		if l.priority < priority {
			break
		}
		if l.priority > priority {
			n += l.upTo(q.max)
			continue
		}
		n += l.upTo(l.waiting(id) + 1)
	}
	return n
}

// upTo returns the number of waiters, with at most each of an account.
func (l *level) upTo(each int) int {
	n := 0
	for _, ln := range l.lanes {
		n += min(len(ln.waiters), each)
	}
	return n
}

// Push adds work. If the queue is full, the work of the lowest priority gives
// way, from the account that has the most of it: the evicted waiter is
// returned. If that would be the new work itself, ok is false.
func (q *Queue) Push(w Work) (added, evicted *Waiter, ok bool) {
	if q.length >= q.max {
		if evicted, ok = q.evict(w); !ok {
			return nil, nil, false
		}
	}
	added = &Waiter{Work: w}
	added.lane = q.level(w.Priority).lane(w.Account)
	added.lane.insert(added)
	q.length++
	return added, evicted, true
}

// evict removes the waiter that gives way to w, if any.
func (q *Queue) evict(w Work) (*Waiter, bool) {
	if len(q.levels) == 0 {
		return nil, false
	}
	lowest := q.levels[len(q.levels)-1]
	longest := slices.MaxFunc(lowest.lanes, func(a, b *lane) int {
		return cmp.Compare(len(a.waiters), len(b.waiters))
	})
	if lowest.priority > w.Priority {
		return nil, false
	}
	if lowest.priority == w.Priority && len(longest.waiters) <= lowest.waiting(w.Account)+1 {
		return nil, false
	}
	last := longest.waiters[len(longest.waiters)-1]
	q.Remove(last)
	return last, true
}

func (l *level) waiting(id account.ID) int {
	for _, ln := range l.lanes {
		if ln.account == id {
			return len(ln.waiters)
		}
	}
	return 0
}

// level returns the level of a priority, made if need be.
func (q *Queue) level(priority int) *level {
	i, ok := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int {
		return cmp.Compare(p, l.priority)
	})
	if !ok {
		q.levels = slices.Insert(q.levels, i, &level{priority: priority})
	}
	return q.levels[i]
}

// lane returns the lane of an account, made last in turn if need be.
func (l *level) lane(id account.ID) *lane {
	for _, ln := range l.lanes {
		if ln.account == id {
			return ln
		}
	}
	ln := &lane{account: id, level: l, fresh: true}
	l.lanes = append(l.lanes, ln)
	return ln
}

func (ln *lane) insert(w *Waiter) {
	i, _ := slices.BinarySearchFunc(ln.waiters, w, func(a, b *Waiter) int {
		if a.Deadline.After(b.Deadline) {
			return 1
		}
		return -1
	})
	ln.waiters = slices.Insert(ln.waiters, i, w)
}

// Remove takes a waiter out; it returns false if it has left before.
func (q *Queue) Remove(w *Waiter) bool {
	i := slices.Index(w.lane.waiters, w)
	if i < 0 {
		return false
	}
	w.lane.waiters = slices.Delete(w.lane.waiters, i, i+1)
	q.length--
	q.tidy(w.lane)
	return true
}

// tidy drops a lane and its level when they are empty.
func (q *Queue) tidy(ln *lane) {
	if len(ln.waiters) > 0 {
		return
	}
	l := ln.level
	l.lanes = slices.DeleteFunc(l.lanes, func(x *lane) bool { return x == ln })
	if len(l.lanes) == 0 {
		q.levels = slices.DeleteFunc(q.levels, func(x *level) bool { return x == l })
	}
}

// Pop takes out the waiter whose turn it is, and the waiters that it found to be
// too late, as their deadline is before done. The first is nil if there is none.
func (q *Queue) Pop(done time.Time) (next *Waiter, late []*Waiter) {
	for len(q.levels) > 0 {
		ln := q.levels[0].turn(q.quantum)
		w := ln.waiters[0]
		q.Remove(w)
		if done.After(w.Deadline) {
			late = append(late, w)
			continue
		}
		ln.deficit -= w.Cost
		return w, late
	}
	return nil, late
}

// turn returns the lane whose turn it is and can pay for its first waiter.
func (l *level) turn(quantum float64) *lane {
	for {
		ln := l.lanes[0]
		if ln.fresh {
			ln.fresh = false
			ln.deficit += quantum
		}
		if len(l.lanes) == 1 || ln.deficit >= ln.waiters[0].Cost {
			ln.deficit = max(ln.deficit, ln.waiters[0].Cost)
			return ln
		}
		ln.fresh = true
		l.lanes = append(l.lanes[1:], ln)
	}
}
