package peerfeed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/watch"
)

const (
	// hedgeTimeout is how long a hedge may take, and hedgeInterval the time after which it goes on to its next step
	// without the answers to the one before.
	hedgeTimeout  = 800 * time.Millisecond
	hedgeInterval = 120 * time.Millisecond
	// hedgePeers is the number of VMs that one step asks at most, and hedgePeerSteps the number of such steps; after a
	// hedge that found nothing newer there is only one.
	hedgePeers     = 3
	hedgePeerSteps = 6
	// hedgeListers is the number of VMs that one step asks for all rows, which may be many.
	hedgeListers = 1
	// minHedgeGain is how much later than this VM's copy that of another VM must have been confirmed to be of use
	// although it has no further changes.
	minHedgeGain = 300 * time.Millisecond
	// minHedgePause is the pause after a hedge that found nothing newer. It doubles with each further one, up to
	// Options.StoreRetryDelay.
	minHedgePause = 500 * time.Millisecond
	// storePatience is the time within which the store usually answers a read that doesn't wait for changes.
	storePatience = 250 * time.Millisecond
	// maxHedgeReads is the number of VMs of the fleet that read the store in their hedges, on average.
	maxHedgeReads = 100
)

var (
	// errOutrun is the cause of the end of a poll when its hedge had an answer sooner.
	errOutrun = namespace.NewType("outrun")
	// errNothingNewer reports a copy that was not confirmed later than that of this VM.
	errNothingNewer = ErrNoReader.NewSubtype("nothing_newer")
	// errPeerHistoryGone reports a VM that no longer has the changes since this VM's copy.
	errPeerHistoryGone = ErrNoReader.NewSubtype("history_gone")
)

// wasOutrun reports whether the hedge of a poll had an answer before the poll.
func wasOutrun(ctx context.Context) bool { return errorx.IsOfType(context.Cause(ctx), errOutrun) }

// hedgeState is what is known of the hedges of a table.
type hedgeState struct {
	// notBefore is when the next hedge may begin, and pause how long that was after the end of the last one; zero if
	// that one had an answer.
	notBefore time.Time
	pause     time.Duration
}

// pollHedged makes a poll and hedges it: the store and other VMs are asked as well once this VM's copy of the table has
// the age at which that is due, whatever the poll still waits for, or once the poll has failed. The poll has a head start
// of hedgeInterval. It returns the first answer.
func (f *Feed) pollHedged(ctx context.Context, h *history, table string, after watch.Cursor,
	poll func(context.Context) (watch.Batch, error)) (watch.Batch, error) {
	polled, hedged := startRead(ctx, poll), (*read)(nil)
	defer func() {
		polled.end(nil)
		hedged.end(nil)
	}()
	hedge := func(ctx context.Context) (watch.Batch, error) { return f.hedge(ctx, h, table, after) }
	var failure error
	headStart := f.clock.Now().Add(hedgeInterval)
	for {
		var due <-chan time.Time
		if hedged == nil && ctx.Err() == nil {
			due = f.clock.After(max(f.untilHedge(h, table), f.clock.Until(headStart)))
		}
		select {
		case <-due:
			hedged = startRead(ctx, hedge)
		case r := <-polled.result():
			polled, failure = nil, r.err
			if r.isFinal() || ctx.Err() != nil {
				return r.batch, r.err
			}
		case r := <-hedged.result():
			hedged = nil
			if r.isFinal() {
				polled.end(errOutrun.New("poll of table %s was outrun", table))
				polled = nil
				return r.batch, r.err
			}
		}
		if failure == nil || hedged != nil {
			continue
		}
		if !f.Seeks(table) || ctx.Err() != nil {
			return watch.Batch{}, failure
		}
		hedged = startRead(ctx, hedge)
	}
}

// untilHedge returns the time until a poll of the table is hedged. Readers are hedged sooner, so that those who poll them
// need not be.
func (f *Feed) untilHedge(h *history, table string) time.Duration {
	f.mu.Lock()
	age := f.opts.HedgeAge
	if f.polledRecently(table) {
		age = f.opts.ReaderHedgeAge
	}
	notBefore := f.hedges[table].notBefore
	f.mu.Unlock()
	now := f.clock.Now()
	return max(age-now.Sub(h.knownSince()), notBefore.Sub(now), 0)
}

// Seeks reports whether newer data of the table may come soon: the store and other VMs have not just been asked in vain.
func (f *Feed) Seeks(table string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.clock.Now().Before(f.hedges[table].notBefore)
}

// hedge asks the store and other VMs in steps until one of them has newer data. Errors: errNothingNewer, and
// watch.ErrHistoryGone.
func (f *Feed) hedge(parent context.Context, h *history, table string, after watch.Cursor) (watch.Batch, error) {
	// Where the poll waits in vain because its connection was lost, unused ones may be lost, too.
	f.closeIdleConnections(table)
	ctx, cancel := context.WithTimeout(parent, hedgeTimeout)
	defer cancel()
	startedAt := f.clock.Now()
	copyAge := startedAt.Sub(h.knownSince())
	r := f.askInSteps(ctx, f.hedgeSteps(h, table, after))
	if parent.Err() == nil || r.isFinal() {
		f.endHedge(table, r.isFinal())
		f.reportHedge(table, r.source, copyAge, startedAt)
	}
	if r.err == nil && after != fullTable {
		h.apply(r.batch, r.servedFrom)
	}
	return r.batch, r.err
}

// askInSteps asks sources step by step and returns the first final result. VMs that no longer have the changes since this
// VM's copy know newer ones; unless a source of the same step has an answer, the table is to be listed then.
func (f *Feed) askInSteps(ctx context.Context, steps [][]ask) readResult {
	last := readResult{err: errNothingNewer.New("neither the store nor other VMs have newer data")}
	results := make(chan readResult, len(steps)*hedgePeers)
	next := f.clock.NewTimer(0)
	defer next.Stop()
	for pending := 0; len(steps) > 0 || pending > 0; {
		select {
		case <-ctx.Done():
			return last
		case <-next.Chan():
			if last.isFinal() {
				return last
			}
			if len(steps) == 0 {
				continue
			}
			for _, ask := range steps[0] {
				go func() { results <- ask(ctx) }()
			}
			pending += len(steps[0])
			steps = steps[1:]
			next.Reset(hedgeInterval)
		case r := <-results:
			pending--
			switch {
			case r.isFinal():
				return r
			case errorx.IsOfType(r.err, errPeerHistoryGone):
				last = readResult{err: watch.ErrHistoryGone.Wrap(r.err, "VM %s", r.source), source: r.source}
			}
			if pending == 0 {
				next.Reset(0)
			}
		}
	}
	return last
}

// closeIdleConnections closes the unused connections to other VMs, and to the store for a table.
func (f *Feed) closeIdleConnections(table string) {
	f.http.CloseIdleConnections()
	f.store.CloseIdleConnections(table)
}

// reportHedge logs and counts a hedge that had an answer from a source, or none from any. copyAge is the age of this VM's
// copy when it began.
func (f *Feed) reportHedge(table, source string, copyAge time.Duration, startedAt time.Time) {
	outcome := "answered"
	if source == "" {
		outcome = "nothing_newer"
	}
	f.hedgeCount.WithLabelValues(table, outcome).Inc()
	f.log.Info("poll hedged", "table", table, "outcome", outcome, "source", source, "copy_age_ms", copyAge.Milliseconds(),
		"took_ms", f.clock.Since(startedAt).Milliseconds())
}

// endHedge records the end of a hedge.
func (f *Feed) endHedge(table string, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if answered {
		delete(f.hedges, table)
		return
	}
	pause := min(max(2*f.hedges[table].pause, minHedgePause), f.opts.StoreRetryDelay)
	f.hedges[table] = hedgeState{notBefore: f.clock.Now().Add(pause), pause: pause}
}

// ask is a read by a hedge.
type ask func(context.Context) readResult

// hedgeSteps returns whom a hedge asks, step by step. A reader begins with the store, and other VMs with VMs that may
// have read it. After a hedge in vain only polls read the store.
func (f *Feed) hedgeSteps(h *history, table string, after watch.Cursor) [][]ask {
	f.mu.Lock()
	defer f.mu.Unlock()
	isReader, failedBefore := f.polledRecently(table), f.hedges[table].pause > 0
	peers := f.hedgeCandidates(table)
	perStep, wanted := hedgePeers, hedgePeerSteps
	if after == fullTable {
		perStep = hedgeListers
	}
	if failedBefore {
		wanted = 1
	}
	var steps [][]ask
	for _, group := range groupsOf(peers, perStep, wanted) {
		var step []ask
		for _, p := range group {
			step = append(step, func(ctx context.Context) readResult { return f.askPeer(ctx, h, p, table, after) })
		}
		steps = append(steps, step)
	}
	if len(steps) > 0 && failedBefore || f.storeFailedRecently(table) || !isReader && rand.IntN(len(f.vms.Others())+1) >= maxHedgeReads {
		return steps
	}
	store := []ask{func(ctx context.Context) readResult { return f.askStore(ctx, table, after) }}
	if isReader || len(steps) == 0 {
		return slices.Insert(steps, 0, store)
	}
	return slices.Insert(steps, 1, store)
}

// groupsOf returns count groups of peers, none if there are no peers. Where there are too few, they come again: one that had
// nothing newer may have it soon.
func groupsOf(peers []peer, size, count int) [][]peer {
	size = min(size, len(peers))
	var groups [][]peer
	for i := 0; size > 0 && i < count; i++ {
		group := make([]peer, 0, size)
		for j := range size {
			group = append(group, peers[(i*size+j)%len(peers)])
		}
		groups = append(groups, group)
	}
	return groups
}

// hedgeCandidates returns the VMs that a hedge may ask, in random order: the other VMs, or the seeds while none is known.
// The caller holds f.mu.
func (f *Feed) hedgeCandidates(table string) []peer {
	var candidates []peer
	for _, m := range f.vms.Filter(func(m members.Member) bool { return m.Feed.IsValid() }) {
		candidates = append(candidates, peer{name: string(m.ID), address: m.Feed.String()})
	}
	if len(candidates) == 0 {
		for _, s := range f.opts.Seeds {
			if s != f.opts.Self {
				candidates = append(candidates, peer{name: s, address: s})
			}
		}
	}
	candidates = slices.DeleteFunc(candidates, func(p peer) bool { return f.inBackoff(p.name, table) })
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

// askStore reads the store without waiting for changes.
func (f *Feed) askStore(ctx context.Context, table string, after watch.Cursor) readResult {
	startedAt := f.clock.Now()
	b, err := f.readStore(ctx, table, after)
	f.countRead("hedge_store", err)
	r := readResult{batch: b, err: err, source: "store"}
	if !r.isFinal() && ctx.Err() != nil && f.clock.Since(startedAt) < storePatience {
		return r
	}
	f.recordStoreRead(table, !r.isFinal())
	if err == nil {
		r.batch.ConfirmedAt = f.clock.Now()
		r.servedFrom = r.batch.ConfirmedAt
	}
	return r
}

// readStore reads the changes after a position from the store, or all rows if that is fullTable.
func (f *Feed) readStore(ctx context.Context, table string, after watch.Cursor) (watch.Batch, error) {
	if after == fullTable {
		return f.store.List(ctx, table)
	}
	return f.store.Changes(ctx, table, after, 0)
}

// askPeer asks another VM for the changes that it knows, however old its copy is.
func (f *Feed) askPeer(ctx context.Context, h *history, p peer, table string, after watch.Cursor) readResult {
	b, err := f.pollPeer(ctx, p, query{table: table, after: after, allowStale: true})
	if err == nil && !h.isNewer(b, after) {
		err = errNothingNewer.New("VM %s has no newer data of table %s", p.name, table)
	}
	f.countRead("hedge_peer", err)
	if errorx.IsOfType(err, watch.ErrHistoryGone) {
		// Another VM may have a shorter history than the store.
		err = errPeerHistoryGone.Wrap(err, "VM %s", p.name)
	}
	return readResult{batch: b, err: err, source: p.name}
}
