package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
)

const (
	defaultHolderBytes = 32 << 20
	defaultHolderRetry = 2 * time.Second
)

// HolderOptions configures a Holder. Objects is required.
type HolderOptions struct {
	Objects store.Objects
	Prefix  string
	// MaxBytes bounds the copies. Default 32 MiB.
	MaxBytes int
	// Retry is the time between rounds of writing. Default 2 s.
	Retry time.Duration
	// CallTimeout bounds each call to the store. Default 5 s.
	CallTimeout time.Duration
	Clock       clockwork.Clock
	Observer    Observer
}

// Holder keeps copies of other processes' unwritten segments and writes them
// when the store takes them. It is safe for concurrent use.
type Holder struct {
	opts HolderOptions

	mu    sync.Mutex
	queue []Sealed
	held  map[string]bool
	bytes int
}

var _ Custodian = (*Holder)(nil)

// NewHolder returns an empty holder.
func NewHolder(opts HolderOptions) *Holder {
	opts.MaxBytes = defaultTo(opts.MaxBytes, defaultHolderBytes)
	opts.Retry = defaultTo(opts.Retry, defaultHolderRetry)
	opts.CallTimeout = defaultTo(opts.CallTimeout, defaultCallTimeout)
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Observer == nil {
		opts.Observer = NopObserver{}
	}
	return &Holder{opts: opts, held: make(map[string]bool)}
}

// Hold keeps a copy. Errors: ErrCorrupt and ErrInvalid for a damaged segment,
// ErrBacklogFull.
func (h *Holder) Hold(_ context.Context, s Sealed) error {
	if _, err := open(h.opts.Prefix, s.Key, s.Body); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held[s.Key] {
		return nil
	}
	if h.bytes+len(s.Body) > h.opts.MaxBytes {
		h.opts.Observer.Observe(EventHolderFull, 1)
		return ErrBacklogFull.New("%d bytes are held for others", h.bytes)
	}
	h.held[s.Key] = true
	h.queue = append(h.queue, s)
	h.bytes += len(s.Body)
	return nil
}

// Import keeps what a stopping writer exported. It stops at the first error.
func (h *Holder) Import(ctx context.Context, segments []Sealed) error {
	for _, s := range segments {
		if err := h.Hold(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// Held returns the number of copies.
func (h *Holder) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.queue)
}

// Export returns the copies, for another holder when this process stops.
func (h *Holder) Export() []Sealed {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Sealed(nil), h.queue...)
}

// Run writes copies every Retry until ctx ends.
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

// Drain writes copies until none is left or the store fails. A segment which
// its writer has written in the meantime needs nothing more.
func (h *Holder) Drain(ctx context.Context) {
	for {
		s, ok := h.first()
		if !ok || !h.write(ctx, s) {
			return
		}
		h.drop(s)
	}
}

func (h *Holder) write(ctx context.Context, s Sealed) bool {
	ctx, cancel := withTimeout(ctx, h.opts.Clock, h.opts.CallTimeout)
	defer cancel()
	settled, err := commit(ctx, h.opts.Objects, s)
	switch {
	case err == nil && !settled:
		h.opts.Observer.Observe(EventHolderWrote, 1)
	case errorx.IsOfType(err, ErrTaken):
		h.opts.Observer.Observe(EventTaken, 1)
	}
	return err == nil || errorx.IsOfType(err, ErrTaken)
}

func (h *Holder) first() (Sealed, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.queue) == 0 {
		return Sealed{}, false
	}
	return h.queue[0], true
}

func (h *Holder) drop(s Sealed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.queue) > 0 && h.queue[0].Key == s.Key {
		h.queue = h.queue[1:]
		delete(h.held, s.Key)
		h.bytes -= len(s.Body)
	}
}
