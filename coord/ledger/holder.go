package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
)

// Defaults of HolderOptions.
const (
	defaultHolderBytes = 32 << 20
	defaultHolderRetry = 2 * time.Second
)

// HolderOptions configures a Holder. Objects is required.
type HolderOptions struct {
	Objects store.Objects
	// Prefix must be the prefix of the writers whose segments are held.
	Prefix string
	// MaxBytes bounds the total size of the copies in memory. Default 32 MiB.
	MaxBytes int
	// Retry is the time between two calls of Drain by Run. Default 2 s.
	Retry time.Duration
	// CallTimeout bounds each attempt to commit a segment. Default 5 s.
	CallTimeout time.Duration
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Observer defaults to NopObserver.
	Observer Observer
}

// Holder stores copies of other processes' uncommitted segments in memory and commits them when the
// store is available again. It is safe for concurrent use. Copies survive a crash of the writer's
// process, but not one of the Holder's.
type Holder struct {
	opts HolderOptions

	mu    sync.Mutex
	queue []SealedSegment
	held  map[string]bool // keys of the segments in queue
	bytes int             // size of the segments in queue
}

var _ SegmentHolder = (*Holder)(nil)

// NewHolder returns an empty holder. Copies are committed only by Run or Drain.
func NewHolder(opts HolderOptions) *Holder {
	opts.MaxBytes = orDefault(opts.MaxBytes, defaultHolderBytes)
	opts.Retry = orDefault(opts.Retry, defaultHolderRetry)
	opts.CallTimeout = orDefault(opts.CallTimeout, defaultCallTimeout)
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Observer == nil {
		opts.Observer = NopObserver{}
	}
	return &Holder{opts: opts, held: make(map[string]bool)}
}

// Hold stores a copy of a segment until it is committed. Holding a segment again has no effect.
// Errors: ErrCorrupt if the segment fails its checksum or its key does not match; ErrBacklogFull if
// the copy would exceed MaxBytes.
func (h *Holder) Hold(_ context.Context, s SealedSegment) error {
	if _, err := decodeSegment(h.opts.Prefix, s.Key, s.Body); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held[s.Key] {
		return nil
	}
	if h.bytes+len(s.Body) > h.opts.MaxBytes {
		h.opts.Observer.Observe(EventHolderFull, 1)
		return ErrBacklogFull.New("holder is full: %d bytes of other processes' segments", h.bytes)
	}
	h.held[s.Key] = true
	h.queue = append(h.queue, s)
	h.bytes += len(s.Body)
	return nil
}

// Import holds the segments that Writer.Export or Holder.Export returned on a stopping process. It
// stops at the first error, which is one of Hold's; the segments before it are held.
func (h *Holder) Import(ctx context.Context, segments []SealedSegment) error {
	for _, s := range segments {
		if err := h.Hold(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// Held returns the number of segments held.
func (h *Holder) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.queue)
}

// Export returns the held segments, oldest first, to be imported by a Holder on another VM when
// this process stops. They stay in this holder.
func (h *Holder) Export() []SealedSegment {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]SealedSegment(nil), h.queue...)
}

// Run calls Drain every HolderOptions.Retry until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	ticker := h.opts.Clock.NewTicker(h.opts.Retry)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			h.Drain(ctx)
		}
	}
}

// Drain commits the held segments, oldest first, until none is left or the store fails. A segment
// that the store contains already, because its writer committed it meanwhile, is dropped.
func (h *Holder) Drain(ctx context.Context) {
	for {
		s, ok := h.oldest()
		if !ok || !h.write(ctx, s) {
			return
		}
		h.remove(s)
	}
}

// write commits one segment. It reports true if the copy is no longer needed: the segment is
// committed, or its key holds other bytes, so that it can never be.
func (h *Holder) write(ctx context.Context, s SealedSegment) bool {
	ctx, cancel := withTimeout(ctx, h.opts.Clock, h.opts.CallTimeout)
	defer cancel()
	alreadyStored, err := commitSegment(ctx, h.opts.Objects, s)
	switch {
	case err == nil && !alreadyStored:
		h.opts.Observer.Observe(EventHolderWrote, 1)
	case errorx.IsOfType(err, ErrIncarnationTaken):
		h.opts.Observer.Observe(EventIncarnationTaken, 1)
	}
	return err == nil || errorx.IsOfType(err, ErrIncarnationTaken)
}

// oldest returns the segment that has been held longest, or false if there is none.
func (h *Holder) oldest() (SealedSegment, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.queue) == 0 {
		return SealedSegment{}, false
	}
	return h.queue[0], true
}

// remove removes s from the queue if it is still the oldest segment there.
func (h *Holder) remove(s SealedSegment) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.queue) > 0 && h.queue[0].Key == s.Key {
		h.queue = h.queue[1:]
		delete(h.held, s.Key)
		h.bytes -= len(s.Body)
	}
}
