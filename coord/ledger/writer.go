package ledger

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/coord/store"
)

const (
	defaultSegmentBytes   = 256 << 10
	defaultSegmentEntries = 1000
	defaultBacklogBytes   = 16 << 20
	defaultHoldAfter      = 2 * time.Second
	defaultCallTimeout    = 5 * time.Second
	firstBackoff          = 50 * time.Millisecond
	maxBackoff            = 2 * time.Second
)

// Custodian keeps copies of segments that the store would not take, on another VM.
type Custodian interface {
	// Hold leaves a copy with a peer.
	Hold(ctx context.Context, s Sealed) error
}

// WriterOptions configures a Writer. Objects and Incarnation are required.
type WriterOptions struct {
	Objects store.Objects
	// Prefix is put before every key.
	Prefix string
	// Incarnation names this run of this process. No other run may use it.
	Incarnation string
	// SegmentBytes and SegmentEntries bound one segment. Defaults 256 KiB and 1,000.
	SegmentBytes   int
	SegmentEntries int
	// BacklogBytes bounds what waits for the store. Default 16 MiB.
	BacklogBytes int
	Pace         Pace
	// Custodian, if set, receives copies of segments that have waited longer
	// than HoldAfter. Default of HoldAfter: 2 s.
	Custodian Custodian
	HoldAfter time.Duration
	// CallTimeout bounds each call to the store or the custodian. Default 5 s.
	CallTimeout time.Duration
	Clock       clockwork.Clock
	Rand        *rand.Rand
	Observer    Observer
}

func (o WriterOptions) withDefaults() WriterOptions {
	o.SegmentBytes = defaultTo(o.SegmentBytes, defaultSegmentBytes)
	o.SegmentEntries = defaultTo(o.SegmentEntries, defaultSegmentEntries)
	o.BacklogBytes = defaultTo(o.BacklogBytes, defaultBacklogBytes)
	o.HoldAfter = defaultTo(o.HoldAfter, defaultHoldAfter)
	o.CallTimeout = defaultTo(o.CallTimeout, defaultCallTimeout)
	o.Pace = o.Pace.withDefaults()
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(1, 1))
	}
	if o.Observer == nil {
		o.Observer = NopObserver{}
	}
	return o
}

func defaultTo[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// batch is a segment in the making. Its fields are guarded by Writer.mu until
// done is closed.
type batch struct {
	entries []json.RawMessage
	bytes   int
	since   time.Time
	final   bool
	sealed  *Sealed
	held    bool
	done    chan struct{}
	err     error
}

// Writer appends entries to segments. It is safe for concurrent use. Run must
// be running for anything to be written.
type Writer struct {
	opts WriterOptions
	wake chan struct{} // holds one token while there is something new to do

	mu       sync.Mutex
	batches  []*batch // unwritten, oldest first; the last may be open
	bytes    int      // of all batches
	sequence uint64   // of the last sealed segment
	urgent   bool     // seal without collecting
	closed   bool
	broken   error
	mean     time.Duration // persist latency
	sealedAt time.Time
}

// NewWriter returns a writer. Errors: ErrInvalid.
func NewWriter(opts WriterOptions) (*Writer, error) {
	if opts.Incarnation == "" || strings.Contains(opts.Incarnation, "/") {
		return nil, ErrInvalid.New("incarnation %q", opts.Incarnation)
	}
	return &Writer{opts: opts.withDefaults(), wake: make(chan struct{}, 1)}, nil
}

// Append records e and returns nil once its segment is committed.
//
// Errors: ErrBacklogFull, ErrClosed and ErrInvalid mean that e was not recorded;
// ErrPending means that ctx ended first and that e will still be written;
// ErrTaken means that this writer can't go on.
func (w *Writer) Append(ctx context.Context, e Entry) error {
	if err := e.validate(); err != nil {
		return err
	}
	encoded, err := json.Marshal(e)
	if err != nil {
		return ErrInvalid.Wrap(err, "entry %q", e.RequestID)
	}
	b, err := w.add(encoded)
	if err != nil {
		return err
	}
	return w.await(ctx, b)
}

func (w *Writer) add(encoded json.RawMessage) (*batch, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.broken != nil:
		return nil, w.broken
	case w.closed:
		w.opts.Observer.Observe(EventClosed, 1)
		return nil, ErrClosed.New("writer %q", w.opts.Incarnation)
	case w.bytes+len(encoded) > w.opts.BacklogBytes:
		w.opts.Observer.Observe(EventBacklogFull, 1)
		return nil, ErrBacklogFull.New("%d bytes wait for the store", w.bytes)
	}
	b := w.openBatch(len(encoded))
	b.entries = append(b.entries, encoded)
	b.bytes += len(encoded)
	w.bytes += len(encoded)
	w.signal()
	return b, nil
}

// openBatch returns the batch that takes the next entry.
func (w *Writer) openBatch(size int) *batch {
	if last := len(w.batches) - 1; last >= 0 {
		if b := w.batches[last]; b.sealed == nil && !w.full(b, size) {
			return b
		}
	}
	b := &batch{since: w.opts.Clock.Now(), done: make(chan struct{})}
	w.batches = append(w.batches, b)
	return b
}

func (w *Writer) full(b *batch, size int) bool {
	return len(b.entries) >= w.opts.SegmentEntries || (b.bytes > 0 && b.bytes+size > w.opts.SegmentBytes)
}

func (w *Writer) await(ctx context.Context, b *batch) error {
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		w.opts.Observer.Observe(EventPending, 1)
		return ErrPending.Wrap(ctx.Err(), "writer %q", w.opts.Incarnation)
	}
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Flush seals at once what is open and returns when everything appended before
// the call is committed. Errors: ErrPending, ErrTaken.
func (w *Writer) Flush(ctx context.Context) error {
	w.mu.Lock()
	var last *batch
	if len(w.batches) > 0 {
		last = w.batches[len(w.batches)-1]
		w.urgent = true
	}
	w.mu.Unlock()
	if last == nil {
		return nil
	}
	w.signal()
	return w.await(ctx, last)
}

// Close takes no more entries and writes what is left, with a mark that nothing
// follows. Errors: ErrPending, after which Export hands the rest to a peer; ErrTaken.
func (w *Writer) Close(ctx context.Context) error {
	w.mu.Lock()
	if !w.closed && w.broken == nil {
		w.closed = true
		w.openBatch(0).final = true
	}
	w.mu.Unlock()
	return w.Flush(ctx)
}

// Export seals what is unwritten and returns copies of it, oldest first, for a
// peer's Holder. Written by both, it still counts once.
func (w *Writer) Export() []Sealed {
	w.mu.Lock()
	defer w.mu.Unlock()
	var copies []Sealed
	for _, b := range w.batches {
		if w.seal(b) {
			copies = append(copies, *b.sealed)
		}
	}
	return copies
}

// Unwritten returns the entries that no segment in the store is known to hold.
func (w *Writer) Unwritten() []Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var entries []Entry
	for _, b := range w.batches {
		for _, encoded := range b.entries {
			var e Entry
			if json.Unmarshal(encoded, &e) == nil {
				entries = append(entries, e)
			}
		}
	}
	return entries
}

// Backlog returns how much waits for the store, in entries' bytes, and since when.
// The time is zero for nothing.
func (w *Writer) Backlog() (bytes int, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.batches) > 0 {
		since = w.batches[0].since
	}
	return w.bytes, since
}
