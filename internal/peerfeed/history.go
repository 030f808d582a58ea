package peerfeed

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/internal/watch"
)

// maxLoggedRows bounds the changed rows that are kept for each table. A follower
// at an older revision has to list the table again.
const maxLoggedRows = 512

// unconfirmed is the zero confirmation time of data that no poll of the store by
// this VM has confirmed. Such data is not served to other VMs as fresh.
var unconfirmed time.Time

// history is this VM's copy of one table and a log of its latest changes.
type history struct {
	mu sync.Mutex
	// rows is the table as of the revision, by key.
	rows     map[string]watch.Row
	era      watch.Era
	revision watch.Revision
	// log holds the rows changed after the revision logStart, in order.
	log      []watch.Row
	logStart watch.Revision
	listed   bool
	// confirmedAt is when the store last answered a poll by this VM, or
	// unconfirmed. steadySince is since when it has answered without interruption.
	confirmedAt, steadySince time.Time
	// knownAt is when the store last confirmed the rows as far as this VM knows, directly or through other VMs; zero if
	// unknown. listedAt is when they were listed.
	knownAt, listedAt time.Time
	// changed is closed and replaced at each change of the rows or of confirmedAt
	// that waiting calls have to see.
	changed chan struct{}
	// confirmed is closed and replaced when the store confirms the rows.
	confirmed chan struct{}
	// maxGap is the longest time between two confirmations that is no interruption.
	maxGap time.Duration
	// encodings holds encoded responses to followers.
	encodings encodings
}

func newHistory(maxGap time.Duration) *history {
	return &history{
		rows: make(map[string]watch.Row), changed: make(chan struct{}), confirmed: make(chan struct{}), maxGap: maxGap,
	}
}

// reset replaces the history with a listing, which is not served to other VMs before a poll has confirmed it. A
// listing of an earlier era is ignored.
func (h *history) reset(b watch.Batch, listedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b.Era < h.era {
		return
	}
	clear(h.rows)
	for _, r := range b.Rows {
		h.rows[r.Key] = r
	}
	h.era, h.revision, h.logStart, h.log, h.listed = b.Era, b.At, b.At, nil, true
	h.confirmedAt, h.steadySince = unconfirmed, unconfirmed
	h.knownAt, h.listedAt = b.ConfirmedAt, listedAt
	h.notify()
}

// knownSince returns when the store last confirmed the rows as far as this VM knows, or while that is unknown when they
// were listed.
func (h *history) knownSince() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.knownAt.IsZero() {
		return h.listedAt
	}
	return h.knownAt
}

// isListed reports whether there is a copy of the table.
func (h *history) isListed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listed
}

// isUnconfirmed reports whether the store has not confirmed the rows since they were listed, as far as this VM knows.
func (h *history) isUnconfirmed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.knownAt.IsZero()
}

// isNewer reports whether a batch of another VM has changes after the position, that of the rows for fullTable, or was
// confirmed so much later than the rows that it is of use.
func (h *history) isNewer(b watch.Batch, after watch.Cursor) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b.ConfirmedAt.IsZero() || b.Era < h.era {
		return false
	}
	if after == fullTable {
		after = watch.Cursor{Era: h.era, Revision: h.revision}
	} else if b.Era > h.era {
		return false
	}
	return after.Before(b.Cursor()) || b.ConfirmedAt.Sub(h.knownAt) >= minHedgeGain
}

// apply adds changed rows. now is when the store confirmed them, or unconfirmed if the
// rows come from a reader and are not served to other VMs. Rows of another era
// are ignored, because that era has to be listed first.
func (h *history) apply(b watch.Batch, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b.Era != h.era {
		return
	}
	if b.ConfirmedAt.After(h.knownAt) {
		h.knownAt = b.ConfirmedAt
	}
	shouldNotify := h.confirmedAt.IsZero() != now.IsZero() || len(b.Rows) > 0
	h.confirm(now, b.StoreUp)
	if !now.IsZero() {
		close(h.confirmed)
		h.confirmed = make(chan struct{})
	}
	if shouldNotify {
		defer h.notify()
	}
	if !h.listed || b.At < h.revision {
		return
	}
	for _, r := range b.Rows {
		if r.Revision <= h.revision {
			continue
		}
		if r.Deleted {
			delete(h.rows, r.Key)
		} else {
			h.rows[r.Key] = r
		}
		// Followers need only the latest state of each row.
		h.log = slices.DeleteFunc(h.log, func(logged watch.Row) bool { return logged.Key == r.Key })
		h.log = append(h.log, r)
	}
	if excess := len(h.log) - maxLoggedRows; excess > 0 {
		h.logStart = h.log[excess-1].Revision
		h.log = slices.Delete(h.log, 0, excess)
	}
	h.revision = b.At
}

// confirm records when the store confirmed the rows, and how long it has answered without
// interruption by what the reader said; zero if unknown. The caller holds h.mu.
func (h *history) confirm(at time.Time, storeUp time.Duration) {
	if h.confirmedAt.IsZero() || at.IsZero() || at.Sub(h.confirmedAt) > h.maxGap {
		h.steadySince = at
	}
	if since := at.Add(-storeUp); !at.IsZero() && since.Before(h.steadySince) {
		h.steadySince = since
	}
	h.confirmedAt = at
}

// storeUp returns how long, at least, the store has answered without interruption.
func (h *history) storeUp() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmedAt.Sub(h.steadySince)
}

// isFresh reports whether the store has confirmed the rows within maxAge.
func (h *history) isFresh(now time.Time, maxAge time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listed && !h.confirmedAt.IsZero() && now.Sub(h.confirmedAt) < maxAge
}

// waitFresh waits until the history is fresh, maxWait has passed or ctx ends.
func (h *history) waitFresh(ctx context.Context, clock clockwork.Clock, maxWait, maxAge time.Duration) {
	deadline := clock.Now().Add(maxWait)
	for !h.isFresh(clock.Now(), maxAge) {
		h.mu.Lock()
		changed := h.changed
		h.mu.Unlock()
		timeLeft := deadline.Sub(clock.Now())
		if timeLeft <= 0 || h.isFresh(clock.Now(), maxAge) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-clock.After(timeLeft):
		}
	}
}

// markStale marks the rows as unconfirmed.
func (h *history) markStale() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmedAt, h.steadySince = unconfirmed, unconfirmed
	h.notify()
}

// notify wakes all calls that wait for a change. The caller holds h.mu.
func (h *history) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// response is the response to a follower's poll as of one moment.
type response struct {
	batch watch.Batch
	// complete reports that the log goes back to the requested revision, and outgrown that it doesn't because the copy is newer.
	complete, outgrown bool
	// freshFor is how long the response stays fresh; if zero or less it is stale.
	freshFor time.Duration
	// knownAt is that of the history.
	knownAt time.Time
	// changed is closed at the next change of the history.
	changed chan struct{}
}

// changesSince returns the changes after a position, or all rows if after is
// fullTable. The changes after a position of an earlier era are not known. A copy of an
// earlier era than the requested position is stale.
func (h *history) changesSince(after watch.Cursor, now time.Time, maxAge time.Duration) response {
	h.mu.Lock()
	defer h.mu.Unlock()
	resp := response{batch: watch.Batch{At: h.revision, Era: h.era}, changed: h.changed, knownAt: h.knownAt}
	resp.complete = h.listed && (after == fullTable || after.Era == h.era && after.Revision >= h.logStart)
	resp.outgrown = h.listed && !resp.complete && after.Before(watch.Cursor{Era: h.era, Revision: h.logStart})
	if h.listed && !h.confirmedAt.IsZero() && after.Era <= h.era {
		resp.freshFor = maxAge - now.Sub(h.confirmedAt)
	}
	if after == fullTable {
		for _, r := range h.rows {
			resp.batch.Rows = append(resp.batch.Rows, r)
		}
		slices.SortFunc(resp.batch.Rows, func(a, b watch.Row) int { return cmp.Compare(a.Key, b.Key) })
		return resp
	}
	for _, r := range h.log {
		if r.Revision > after.Revision {
			resp.batch.Rows = append(resp.batch.Rows, r)
		}
	}
	// A reader that is behind its follower has no changes for it, and must not
	// lower its revision.
	resp.batch.At = max(resp.batch.At, after.Revision)
	return resp
}

// poll answers a query. If there are no changes, it waits for them until the wait has
// passed, the history becomes stale or ctx ends, and for a query with renew also until the
// store has confirmed the rows again.
func (h *history) poll(ctx context.Context, clock clockwork.Clock, q query, maxAge time.Duration) response {
	deadline := clock.Now().Add(q.wait)
	renewed := h.nextConfirmation()
	if !q.renew {
		renewed = nil
	}
	for {
		resp := h.changesSince(q.after, clock.Now(), maxAge)
		timeLeft := min(deadline.Sub(clock.Now()), resp.freshFor)
		if !resp.complete || resp.freshFor <= 0 || len(resp.batch.Rows) > 0 || q.after == fullTable || timeLeft <= 0 {
			return resp
		}
		select {
		case <-ctx.Done():
			return resp
		case <-resp.changed:
		case <-renewed:
			renewed = nil
			deadline = earliest(deadline, clock.Now().Add(randomDelay(q.spread)))
		case <-clock.After(timeLeft):
		}
	}
}

// nextConfirmation returns a channel that is closed when the store confirms the rows.
func (h *history) nextConfirmation() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed
}

// earliest returns the earlier one of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// randomDelay returns a random duration below limit; zero if limit is.
func randomDelay(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return rand.N(limit)
}
