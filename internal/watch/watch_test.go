package watch_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/internal/watch"
)

// scriptedSource returns the given results, each a Batch or an error, one after
// another, and then waits until the context ends.
type scriptedSource struct {
	mu    sync.Mutex
	lists []any
	polls []any
	// waits are the waits of the polls so far.
	waits []time.Duration
}

func pop(list *[]any) any {
	if len(*list) == 0 {
		return nil
	}
	first := (*list)[0]
	*list = (*list)[1:]
	return first
}

func (s *scriptedSource) read(ctx context.Context, list *[]any) (watch.Batch, error) {
	s.mu.Lock()
	result := pop(list)
	s.mu.Unlock()
	switch result := result.(type) {
	case watch.Batch:
		return result, nil
	case error:
		return watch.Batch{}, result
	}
	<-ctx.Done()
	return watch.Batch{}, store.ErrUnavailable.New("no scripted result left")
}

func (s *scriptedSource) List(ctx context.Context, _ string) (watch.Batch, error) {
	return s.read(ctx, &s.lists)
}

func (s *scriptedSource) Changes(ctx context.Context, _ string, _ watch.Cursor,
	wait time.Duration) (watch.Batch, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	return s.read(ctx, &s.polls)
}

// recordingSink records the calls of its methods.
type recordingSink struct {
	mu       sync.Mutex
	recorded []string
}

func (r *recordingSink) record(s string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorded = append(r.recorded, s)
}

func (r *recordingSink) events() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.recorded...)
}

func (r *recordingSink) Reset(b watch.Batch)    { r.record("reset " + b.Rows[0].Key) }
func (r *recordingSink) Change(b watch.Batch)   { r.record("change " + b.Rows[0].Key) }
func (r *recordingSink) StoreUnavailable(error) { r.record("unavailable") }
func (r *recordingSink) StoreAvailable(o watch.Outage) {
	if o.Local {
		r.record("reached again")
		return
	}
	r.record("available")
}

func batch(at watch.Revision, key string) watch.Batch {
	return watch.Batch{At: at, Rows: []watch.Row{{Key: key}}}
}

// startWatch runs a watch of the source until the test ends.
func startWatch(t *testing.T, source *scriptedSource) *recordingSink {
	return startWatchWith(t, source, func(*watch.Options) {})
}

// startWatchWith is startWatch with changed options.
func startWatchWith(t *testing.T, source watch.Source, change func(*watch.Options)) *recordingSink {
	sink := &recordingSink{}
	opts := watch.DefaultOptions()
	opts.MinBackoff, opts.MaxBackoff, opts.MaxInitialBackoff = time.Millisecond, time.Millisecond, time.Millisecond
	change(&opts)
	w := watch.New(source, "table", sink, clockwork.NewRealClock(), slog.New(slog.NewTextHandler(io.Discard, nil)), opts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return sink
}

func TestWatchDeliversListingThenChanges(t *testing.T) {
	g := NewWithT(t)
	sink := startWatch(t, &scriptedSource{lists: []any{batch(5, "a")},
		polls: []any{batch(6, "b"), watch.Batch{At: 6}, batch(7, "c")}})
	g.Eventually(sink.events).Should(Equal([]string{"reset a", "change b", "change c"}))
}

func TestWatchIgnoresOlderRevisions(t *testing.T) {
	g := NewWithT(t)
	sink := startWatch(t, &scriptedSource{
		lists: []any{batch(5, "a"), batch(4, "stale"), batch(9, "c")},
		polls: []any{batch(8, "b"), batch(3, "old"), watch.ErrHistoryGone.New("changes no longer kept")},
	})
	g.Eventually(sink.events).Should(Equal([]string{"reset a", "change b", "unavailable", "available", "reset c"}))
}

// slowListing is a source whose listings take longer than the slack of a poll, as those of
// a large table over a narrow link.
type slowListing struct {
	scriptedSource
	takes time.Duration
}

func (s *slowListing) List(ctx context.Context, table string) (watch.Batch, error) {
	select {
	case <-ctx.Done():
		return watch.Batch{}, store.ErrUnavailable.Wrap(ctx.Err(), "list")
	case <-time.After(s.takes):
		return s.scriptedSource.List(ctx, table)
	}
}

// TestListingMayTakeLongerThanSlackOfPoll guards against listings that are started over
// again and again, because each is cut off before it is complete.
func TestListingMayTakeLongerThanSlackOfPoll(t *testing.T) {
	g := NewWithT(t)
	source := &slowListing{scriptedSource: scriptedSource{lists: []any{batch(5, "a")}}, takes: 60 * time.Millisecond}
	sink := startWatchWith(t, source, func(o *watch.Options) { o.Slack = 20 * time.Millisecond })
	g.Eventually(sink.events).Should(Equal([]string{"reset a"}))
}

// TestWatchFollowsStoreIntoNewEra covers a store that was restored from an older copy:
// its listing has a lower revision, and late rows of the era before are ignored.
func TestWatchFollowsStoreIntoNewEra(t *testing.T) {
	g := NewWithT(t)
	inEra := func(era watch.Era, b watch.Batch) watch.Batch {
		b.Era = era
		return b
	}
	sink := startWatch(t, &scriptedSource{
		lists: []any{inEra(1, batch(50, "a")), inEra(2, batch(20, "b")), inEra(1, batch(90, "late")), inEra(2, batch(30, "d"))},
		polls: []any{
			watch.ErrHistoryGone.New("new era"), inEra(2, batch(21, "c")), inEra(1, batch(60, "late")),
			watch.ErrHistoryGone.New("dropped"),
		},
	})
	g.Eventually(sink.events).Should(Equal([]string{"reset a", "reset b", "change c", "unavailable", "available", "reset d"}))
}

func TestSinkIsNotifiedOncePerOutage(t *testing.T) {
	g := NewWithT(t)
	unavailable := store.ErrUnavailable.New("outage")
	sink := startWatch(t, &scriptedSource{lists: []any{unavailable, unavailable, batch(5, "a")},
		polls: []any{unavailable, unavailable, unavailable, batch(6, "b")}})
	g.Eventually(sink.events).Should(Equal([]string{"unavailable", "available", "reset a", "unavailable", "available",
		"change b"}))
}

// A poll whose request was lost in an outage is never answered, so polls must be
// short until the store is available again.
func TestPollsAreShortDuringOutage(t *testing.T) {
	g := NewWithT(t)
	unavailable := store.ErrUnavailable.New("outage")
	source := &scriptedSource{lists: []any{batch(5, "a")}, polls: []any{unavailable, unavailable, batch(6, "b")}}
	sink := startWatch(t, source)
	g.Eventually(sink.events).Should(Equal([]string{"reset a", "unavailable", "available", "change b"}))
	g.Eventually(func() int {
		source.mu.Lock()
		defer source.mu.Unlock()
		return len(source.waits)
	}).Should(Equal(4))
	opts := watch.DefaultOptions()
	g.Expect(source.waits).To(Equal([]time.Duration{opts.Wait, opts.OutageWait, opts.OutageWait, opts.Wait}))
}

// TestOutageIsLocalIfStoreAnsweredOtherVMs guards against a VM that takes its own cut for an outage of
// the store, and keeps upstreams that have left.
func TestOutageIsLocalIfStoreAnsweredOtherVMs(t *testing.T) {
	for up, want := range map[time.Duration]string{time.Hour: "reached again", 0: "available"} {
		g := NewWithT(t)
		failed := store.ErrUnavailable.New("no response")
		back := batch(6, "b")
		back.StoreUp = up
		sink := startWatch(t, &scriptedSource{lists: []any{batch(5, "a")}, polls: []any{failed, back}})
		g.Eventually(sink.events).Should(Equal([]string{"reset a", "unavailable", want, "change b"}))
	}
}
