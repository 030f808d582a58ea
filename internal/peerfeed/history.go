package peerfeed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/internal/watch"
)

// maxLog bounds the changed rows that are kept of a table; older readers list
// it again.
const maxLog = 512

// unconfirmed stands for the time of a read that no poll of the store has
// confirmed.
var unconfirmed time.Time

// history is what this VM read of one table.
type history struct {
	mu sync.Mutex
	// rows is the table, at its revision.
	rows map[string]watch.Row
	at   watch.Revision
	// log holds the changed rows after oldest, in order.
	log    []watch.Row
	oldest watch.Revision
	listed bool
	// freshAt is when the store last answered, to a read sent by this VM.
	freshAt time.Time
	changed chan struct{}
}

func newHistory() *history {
	return &history{rows: make(map[string]watch.Row), changed: make(chan struct{})}
}

// reset takes in a listing. Now is when the store is known to be no further;
// zero stands for a listing that is not passed on yet.
func (h *history) reset(b watch.Batch, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.rows)
	for _, r := range b.Rows {
		h.rows[r.Key] = r
	}
	h.at, h.oldest, h.log, h.listed, h.freshAt = b.At, b.At, nil, true, now
	h.wake()
}

// change takes in changed rows. Now is when the store itself answered; zero
// stands for a reader's answer, which is not passed on.
func (h *history) change(b watch.Batch, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wake := h.freshAt.IsZero() != now.IsZero() || len(b.Rows) > 0
	h.freshAt = now
	if wake {
		defer h.wake()
	}
	if !h.listed || b.At < h.at {
		return
	}
	for _, r := range b.Rows {
		if r.Revision <= h.at {
			continue
		}
		if r.Deleted {
			delete(h.rows, r.Key)
		} else {
			h.rows[r.Key] = r
		}
		// Followers need the newest state of a row alone.
		h.log = slices.DeleteFunc(h.log, func(old watch.Row) bool { return old.Key == r.Key })
		h.log = append(h.log, r)
	}
	if extra := len(h.log) - maxLog; extra > 0 {
		h.oldest = h.log[extra-1].Revision
		h.log = slices.Delete(h.log, 0, extra)
	}
	h.at = b.At
}

// fresh tells that the store has confirmed what is known.
func (h *history) fresh(now time.Time, maxAge time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listed && !h.freshAt.IsZero() && now.Sub(h.freshAt) < maxAge
}

// await waits until the history is fresh, for limit at most.
func (h *history) await(ctx context.Context, clock clockwork.Clock, limit, maxAge time.Duration) {
	deadline := clock.Now().Add(limit)
	for !h.fresh(clock.Now(), maxAge) {
		h.mu.Lock()
		changed := h.changed
		h.mu.Unlock()
		left := deadline.Sub(clock.Now())
		if left <= 0 || h.fresh(clock.Now(), maxAge) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-clock.After(left):
		}
	}
}

// stale notes that the store no longer answers.
func (h *history) stale() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.freshAt = time.Time{}
	h.wake()
}

func (h *history) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// answer is what a reader answers at one moment.
type answer struct {
	batch watch.Batch
	// known tells that the history reaches back far enough.
	known bool
	// freshFor is how long the answer stays fresh; zero or less is stale.
	freshFor time.Duration
	changed  chan struct{}
}

// since returns the changes after a revision; a negative one asks for the table.
func (h *history) since(after watch.Revision, now time.Time, maxAge time.Duration) answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := answer{batch: watch.Batch{At: h.at}, known: h.listed && (after < 0 || after >= h.oldest), changed: h.changed}
	if h.listed && !h.freshAt.IsZero() {
		out.freshFor = maxAge - now.Sub(h.freshAt)
	}
	if after < 0 {
		for _, r := range h.rows {
			out.batch.Rows = append(out.batch.Rows, r)
		}
		slices.SortFunc(out.batch.Rows, func(a, b watch.Row) int { return cmp.Compare(a.Key, b.Key) })
		return out
	}
	for _, r := range h.log {
		if r.Revision > after {
			out.batch.Rows = append(out.batch.Rows, r)
		}
	}
	// A reader that is behind its follower has nothing to tell.
	out.batch.At = max(out.batch.At, after)
	return out
}

// poll waits for changes after a revision, as long as the history is fresh.
func (h *history) poll(ctx context.Context, clock clockwork.Clock, after watch.Revision, wait, maxAge time.Duration) answer {
	deadline := clock.Now().Add(wait)
	for {
		a := h.since(after, clock.Now(), maxAge)
		left := min(deadline.Sub(clock.Now()), a.freshFor)
		if !a.known || a.freshFor <= 0 || len(a.batch.Rows) > 0 || after < 0 || left <= 0 {
			return a
		}
		select {
		case <-ctx.Done():
			return a
		case <-a.changed:
		case <-clock.After(left):
		}
	}
}
