package roster

import (
	"math/bits"
	"slices"
	"time"
)

// RumourOptions bounds what the signs cost.
type RumourOptions struct {
	// MaxSigns bounds the signs in one digest. Default 24.
	MaxSigns int
	// Refresh is the number of older signs that are repeated in each digest, in
	// turn, for members that missed them. Default 4.
	Refresh int
	// Repeat times the binary logarithm of the number of peers is how often a
	// new sign is sent. Default 3.
	Repeat int
	// MaxQueue bounds the new signs in wait. Default 4,096.
	MaxQueue int
}

const (
	defaultMaxSigns = 24
	defaultRefresh  = 4
	defaultRepeat   = 3
	defaultMaxQueue = 4096
)

func (o RumourOptions) withDefaults() RumourOptions {
	o.MaxSigns = defaultTo(o.MaxSigns, defaultMaxSigns)
	o.Refresh = defaultTo(o.Refresh, defaultRefresh)
	o.Repeat = defaultTo(o.Repeat, defaultRepeat)
	o.MaxQueue = defaultTo(o.MaxQueue, defaultMaxQueue)
	return o
}

func defaultTo[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// rumour is a new sign that is still being passed on.
type rumour struct {
	id   ID
	kind Kind
	sent int
}

// rumours is the queue of new signs, and the round of older ones.
type rumours struct {
	opts   RumourOptions
	queue  []rumour
	round  []ID // leaving members, repeated in turn
	cursor int  // place in round
}

func newRumours(opts RumourOptions) *rumours {
	return &rumours{opts: opts}
}

// add queues a sign. It reports false if the queue is full; the sign is then
// only repeated in turn.
func (q *rumours) add(id ID, kind Kind) bool {
	if kind == Departing && !slices.Contains(q.round, id) {
		q.round = append(q.round, id)
	}
	q.queue = slices.DeleteFunc(q.queue, func(r rumour) bool { return r.id == id })
	if len(q.queue) >= q.opts.MaxQueue {
		return false
	}
	q.queue = append(q.queue, rumour{id: id, kind: kind})
	return true
}

// take returns the signs for one message, those sent least often first.
func (q *rumours) take(peers int) []rumour {
	slices.SortStableFunc(q.queue, func(a, b rumour) int { return a.sent - b.sent })
	taken := slices.Clone(q.queue[:min(len(q.queue), q.opts.MaxSigns)])
	for i := range taken {
		q.queue[i].sent++
	}
	limit := q.opts.Repeat * (bits.Len(uint(peers)) + 1)
	q.queue = slices.DeleteFunc(q.queue, func(r rumour) bool { return r.sent >= limit })
	return taken
}

// next returns the following leaving members in turn. It drops those that
// are no longer leaving.
func (q *rumours) next(count int, leaving func(ID) bool) []ID {
	var picked []ID
	for range min(count, len(q.round)) {
		q.cursor %= len(q.round)
		id := q.round[q.cursor]
		if leaving(id) {
			picked = append(picked, id)
			q.cursor++
			continue
		}
		q.round = slices.Delete(q.round, q.cursor, q.cursor+1)
		if len(q.round) == 0 {
			break
		}
	}
	return picked
}
