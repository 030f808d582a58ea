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

// script answers reads of a table one after another, and then waits.
type script struct {
	mu    sync.Mutex
	lists []any
	polls []any
	// waits are those of the polls so far.
	waits []time.Duration
}

func next(list *[]any) any {
	if len(*list) == 0 {
		return nil
	}
	out := (*list)[0]
	*list = (*list)[1:]
	return out
}

func (s *script) read(ctx context.Context, list *[]any) (watch.Batch, error) {
	s.mu.Lock()
	out := next(list)
	s.mu.Unlock()
	switch out := out.(type) {
	case watch.Batch:
		return out, nil
	case error:
		return watch.Batch{}, out
	}
	<-ctx.Done()
	return watch.Batch{}, store.ErrUnavailable.New("the script is over")
}

func (s *script) List(ctx context.Context, _ string) (watch.Batch, error) {
	return s.read(ctx, &s.lists)
}

func (s *script) Changes(ctx context.Context, _ string, _ watch.Revision, wait time.Duration) (watch.Batch, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	return s.read(ctx, &s.polls)
}

// notes is a sink that notes what it is told.
type notes struct {
	mu   sync.Mutex
	seen []string
}

func (n *notes) add(s string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seen = append(n.seen, s)
}

func (n *notes) all() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.seen...)
}

func (n *notes) Reset(b watch.Batch)    { n.add("reset " + b.Rows[0].Key) }
func (n *notes) Change(b watch.Batch)   { n.add("change " + b.Rows[0].Key) }
func (n *notes) Lost(error)             { n.add("lost") }
func (n *notes) Regained(time.Duration) { n.add("regained") }

func batch(at watch.Revision, key string) watch.Batch {
	return watch.Batch{At: at, Rows: []watch.Row{{Key: key}}}
}

func play(t *testing.T, s *script) *notes {
	sink := &notes{}
	opts := watch.DefaultOptions()
	opts.MinBackoff, opts.MaxBackoff, opts.FirstBackoff = time.Millisecond, time.Millisecond, time.Millisecond
	w := watch.New(s, "table", sink, clockwork.NewRealClock(), slog.New(slog.NewTextHandler(io.Discard, nil)), opts)
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

func TestAListingAndChangesFollow(t *testing.T) {
	g := NewWithT(t)
	sink := play(t, &script{lists: []any{batch(5, "a")}, polls: []any{batch(6, "b"), watch.Batch{At: 6}, batch(7, "c")}})
	g.Eventually(sink.all).Should(Equal([]string{"reset a", "change b", "change c"}))
}

func TestWhatIsKnownNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	sink := play(t, &script{
		lists: []any{batch(5, "a"), batch(4, "stale"), batch(9, "c")},
		polls: []any{batch(8, "b"), batch(3, "old"), watch.ErrHistoryGone.New("gone")},
	})
	g.Eventually(sink.all).Should(Equal([]string{"reset a", "change b", "lost", "regained", "reset c"}))
}

func TestAnOutageIsToldOnce(t *testing.T) {
	g := NewWithT(t)
	out := store.ErrUnavailable.New("out")
	sink := play(t, &script{lists: []any{out, out, batch(5, "a")}, polls: []any{out, out, out, batch(6, "b")}})
	g.Eventually(sink.all).Should(Equal([]string{"lost", "regained", "reset a", "lost", "regained", "change b"}))
}

// A poll that the store swallowed while it was away is never answered, so that
// polls are short until it answers again.
func TestPollsAreShortWhileTheStoreIsAway(t *testing.T) {
	g := NewWithT(t)
	out := store.ErrUnavailable.New("out")
	s := &script{lists: []any{batch(5, "a")}, polls: []any{out, out, batch(6, "b")}}
	sink := play(t, s)
	g.Eventually(sink.all).Should(Equal([]string{"reset a", "lost", "regained", "change b"}))
	g.Eventually(func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.waits)
	}).Should(Equal(4))
	opts := watch.DefaultOptions()
	g.Expect(s.waits).To(Equal([]time.Duration{opts.Wait, opts.LostWait, opts.LostWait, opts.Wait}))
}
