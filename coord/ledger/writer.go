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

// Defaults of WriterOptions, and the bounds of the delay between attempts to commit.
const (
	defaultSegmentBytes   = 256 << 10
	defaultSegmentEntries = 1000
	defaultBacklogBytes   = 16 << 20
	defaultHoldAfter      = 2 * time.Second
	defaultCallTimeout    = 5 * time.Second
	initialBackoff        = 50 * time.Millisecond
	maxBackoff            = 2 * time.Second
)

// SegmentHolder stores copies of segments that the object store has not accepted, on another VM. Holder
// implements it for the VM that receives copies; a client of such a VM implements it for a Writer.
type SegmentHolder interface {
	// Hold returns nil once the copy is stored. Holding a segment again must have no effect. After
	// an error, the Writer tries again when its next attempt to commit has failed.
	Hold(ctx context.Context, s SealedSegment) error
}

// WriterOptions configures a Writer. Objects and Incarnation are required.
type WriterOptions struct {
	Objects store.Objects
	// Prefix is put before every key. It separates ledgers in one store.
	Prefix string
	// Incarnation identifies this run of this process; it must not contain a slash. It must be
	// unique among all runs of all processes, restarts included: otherwise the Writer fails with
	// ErrIncarnationTaken.
	Incarnation string
	// SegmentBytes and SegmentEntries bound one segment; a single larger entry gets a segment of its
	// own. Defaults 256 KiB and 1,000.
	SegmentBytes   int
	SegmentEntries int
	// BacklogBytes bounds the uncommitted entries, in bytes of their JSON encoding. Beyond it,
	// Append fails with ErrBacklogFull. Default 16 MiB.
	BacklogBytes int
	// BatchPolicy sets how long entries are collected before a commit.
	BatchPolicy BatchPolicy
	// PeerHolder, if set, receives copies of all uncommitted segments when an attempt to commit has
	// failed and the oldest entry has waited for HoldAfter.
	PeerHolder SegmentHolder
	// HoldAfter is the time that the oldest entry waits before segments are copied. Default 2 s.
	HoldAfter time.Duration
	// CallTimeout bounds each attempt to commit and each call to the peer holder. Default 5 s.
	CallTimeout time.Duration
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Rand draws the jitter of the backoff. The default has a fixed seed, the same in every process;
	// set it so that processes do not retry in step. The Writer must be its only user.
	Rand *rand.Rand
	// Observer defaults to NopObserver.
	Observer Observer
}

func (o WriterOptions) withDefaults() WriterOptions {
	o.SegmentBytes = orDefault(o.SegmentBytes, defaultSegmentBytes)
	o.SegmentEntries = orDefault(o.SegmentEntries, defaultSegmentEntries)
	o.BacklogBytes = orDefault(o.BacklogBytes, defaultBacklogBytes)
	o.HoldAfter = orDefault(o.HoldAfter, defaultHoldAfter)
	o.CallTimeout = orDefault(o.CallTimeout, defaultCallTimeout)
	o.BatchPolicy = o.BatchPolicy.withDefaults()
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

// orDefault returns fallback if value is zero or negative.
func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// batch collects the entries of one segment. Its fields are guarded by Writer.mu until done is
// closed.
type batch struct {
	entries    []json.RawMessage
	bytes      int
	openedAt   time.Time
	final      bool           // the writer's last segment
	sealed     *SealedSegment // nil while the batch accepts entries
	heldByPeer bool           // the peer holder has a copy
	done       chan struct{}  // closed when the batch is committed or has failed
	err        error          // the result; valid once done is closed
}

// Writer batches entries into segments and commits them to the object store. It is safe for
// concurrent use. Nothing is committed unless Run is running.
type Writer struct {
	opts WriterOptions
	wake chan struct{} // wakes Run; buffers one signal

	mu             sync.Mutex
	batches        []*batch // uncommitted, oldest first; the last may be open
	backlogBytes   int      // encoded entries of all batches
	lastSequence   uint64   // sequence number of the last sealed segment
	flushRequested bool     // seal open batches without delay until none is left
	closed         bool
	failure        error         // set when Run has stopped for good
	meanLatency    time.Duration // moving average of the time to commit a segment
	sealedAt       time.Time     // time of the last seal
}

// NewWriter returns a writer. The caller must start Run. Errors: ErrInvalid if the incarnation is
// empty or contains a slash.
func NewWriter(opts WriterOptions) (*Writer, error) {
	if opts.Incarnation == "" || strings.Contains(opts.Incarnation, "/") {
		return nil, ErrInvalid.New("incarnation %q is empty or contains a slash", opts.Incarnation)
	}
	return &Writer{opts: opts.withDefaults(), wake: make(chan struct{}, 1)}, nil
}

// Append records e and returns nil once its segment is committed. From then on e counts exactly once
// even if the process crashes, provided that it is settled within SettlerOptions.Retention. Appending
// an entry again is harmless, because its request ID counts once.
//
// Errors: ErrBacklogFull, ErrClosed and ErrInvalid mean that e was not recorded. ErrPending means
// that ctx ended first: e is committed later, unless the process ends before that.
// ErrIncarnationTaken means that the writer has stopped: e was not recorded by this call, or is among
// the entries that Unwritten returns.
func (w *Writer) Append(ctx context.Context, e Entry) error {
	if err := e.validate(); err != nil {
		return err
	}
	encoded, err := json.Marshal(e)
	if err != nil {
		return ErrInvalid.Wrap(err, "encode entry %q", e.RequestID)
	}
	b, err := w.enqueue(encoded)
	if err != nil {
		return err
	}
	return w.awaitCommit(ctx, b)
}

// enqueue adds an encoded entry to the open batch and returns the batch. Errors: ErrBacklogFull,
// ErrClosed, ErrIncarnationTaken.
func (w *Writer) enqueue(encoded json.RawMessage) (*batch, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.failure != nil:
		return nil, w.failure
	case w.closed:
		w.opts.Observer.Observe(EventClosed, 1)
		return nil, ErrClosed.New("writer of incarnation %q is closed", w.opts.Incarnation)
	case w.backlogBytes+len(encoded) > w.opts.BacklogBytes:
		w.opts.Observer.Observe(EventBacklogFull, 1)
		return nil, ErrBacklogFull.New("backlog is full: %d bytes not yet committed", w.backlogBytes)
	}
	b := w.openBatch(len(encoded))
	b.entries = append(b.entries, encoded)
	b.bytes += len(encoded)
	w.backlogBytes += len(encoded)
	w.signal()
	return b, nil
}

// openBatch returns the batch for the next entry, of the given size in bytes. It opens a new batch if
// the last one is sealed or full. The caller holds w.mu.
func (w *Writer) openBatch(size int) *batch {
	if last := len(w.batches) - 1; last >= 0 {
		if b := w.batches[last]; b.sealed == nil && !w.isFull(b, size) {
			return b
		}
	}
	b := &batch{openedAt: w.opts.Clock.Now(), done: make(chan struct{})}
	w.batches = append(w.batches, b)
	return b
}

// isFull reports whether b has no room for an entry of the given size in bytes.
func (w *Writer) isFull(b *batch, size int) bool {
	return len(b.entries) >= w.opts.SegmentEntries || (b.bytes > 0 && b.bytes+size > w.opts.SegmentBytes)
}

// awaitCommit returns the result of b once it is committed or has failed. Errors: ErrPending,
// ErrIncarnationTaken.
func (w *Writer) awaitCommit(ctx context.Context, b *batch) error {
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		w.opts.Observer.Observe(EventPending, 1)
		return ErrPending.Wrap(ctx.Err(), "not yet committed by incarnation %q", w.opts.Incarnation)
	}
}

// signal wakes Run.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Flush seals the open batch without delay and returns nil when all entries appended before the call
// are committed. Errors: ErrPending if ctx ended first; ErrIncarnationTaken.
func (w *Writer) Flush(ctx context.Context) error {
	w.mu.Lock()
	var last *batch
	if len(w.batches) > 0 {
		last = w.batches[len(w.batches)-1]
		w.flushRequested = true
	}
	w.mu.Unlock()
	if last == nil {
		return nil
	}
	w.signal()
	return w.awaitCommit(ctx, last)
}

// Close makes later calls of Append fail with ErrClosed, and commits the backlog and a final segment
// which records that the incarnation is complete. Run must still be running.
//
// Errors: ErrPending if ctx ended first, after which the caller should pass the result of Export to a
// Holder on another VM; ErrIncarnationTaken.
func (w *Writer) Close(ctx context.Context) error {
	w.mu.Lock()
	if !w.closed && w.failure == nil {
		w.closed = true
		w.openBatch(0).final = true
	}
	w.mu.Unlock()
	return w.Flush(ctx)
}

// Export seals all uncommitted batches and returns copies of their segments, oldest first, to be
// held on another VM. Entries committed by both this writer and the holder count once.
func (w *Writer) Export() []SealedSegment {
	w.mu.Lock()
	defer w.mu.Unlock()
	var copies []SealedSegment
	for _, b := range w.batches {
		if w.sealBatch(b) {
			copies = append(copies, *b.sealed)
		}
	}
	return copies
}

// Unwritten returns the entries that are not known to be committed, oldest first. Some of them may
// be; appending them again to another Writer is safe.
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

// Backlog returns the size of the uncommitted entries, in bytes of their JSON encoding, and when the
// oldest uncommitted batch was opened; the time is zero if there is none.
func (w *Writer) Backlog() (bytes int, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.batches) > 0 {
		since = w.batches[0].openedAt
	}
	return w.backlogBytes, since
}
