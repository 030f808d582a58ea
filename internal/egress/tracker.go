package egress

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/account"
)

var namespace = errorx.NewNamespace("egress")

// Errors of a Writer.
var (
	// ErrGone reports that the caller's connection failed.
	ErrGone = namespace.NewType("caller_gone")
	// ErrWriteTimeout reports that the caller took nothing for Options.WriteTimeout.
	ErrWriteTimeout = namespace.NewType("write_timeout")
	// ErrHeldUp reports that the caller read so slowly that its upstream would have cut off the
	// response.
	ErrHeldUp = namespace.NewType("upstream_held_up")
	// ErrAccountBytes and ErrVMBytes report that this caller was the slowest one when too many
	// bytes were held for its client account or for all callers of the VM.
	ErrAccountBytes = namespace.NewType("account_bytes")
	ErrVMBytes      = namespace.NewType("vm_bytes")
	// ErrEnded reports that the Writer was ended by its owner.
	ErrEnded = namespace.NewType("ended")
)

// Options set the bounds of a Tracker.
type Options struct {
	// WriteTimeout is how long a caller may take nothing of what it was sent.
	WriteTimeout time.Duration
	// MaxAnswerBytes is the number of bytes that wait for one caller before its upstream is no
	// longer read, and MaxHoldUp how long the upstream then waits. It must be less than the time
	// after which upstreams cut off a response.
	MaxAnswerBytes int
	MaxHoldUp      time.Duration
	// MaxAccountBytes and MaxBytes are the numbers of bytes that wait for the callers of one
	// client account and of the VM before the slowest one is ended.
	MaxAccountBytes, MaxBytes int
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		WriteTimeout: 10 * time.Second, MaxAnswerBytes: 256 << 10, MaxHoldUp: 2 * time.Second,
		MaxAccountBytes: 4 << 20, MaxBytes: 16 << 20,
	}
}

// slowAfter is the time without progress from which a caller counts as slow. Callers that make
// progress are not ended for the bytes held.
const slowAfter = 250 * time.Millisecond

// Tracker bounds the bytes that are held for all callers of a VM. It is safe for concurrent
// use.
type Tracker struct {
	opts  Options
	clock clockwork.Clock
	// onEnd is called with the error of each Writer that ends for its caller's slowness.
	onEnd func(error)

	mu sync.Mutex
	// held is the number of bytes that wait for all callers, and byOwner that for the callers of
	// each client account.
	held    int
	byOwner map[account.ID]int
	writers map[*Writer]struct{}
}

// NewTracker returns a Tracker that holds nothing. It calls onEnd with the error of each
// caller that was ended because it read too slowly.
func NewTracker(opts Options, clock clockwork.Clock, onEnd func(error)) *Tracker {
	return &Tracker{opts: opts, clock: clock, onEnd: onEnd, byOwner: make(map[account.ID]int), writers: make(map[*Writer]struct{})}
}

// HeldBytes returns the number of bytes that wait for callers.
func (t *Tracker) HeldBytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held
}

// hold adds bytes that wait for a caller. It ends the slowest callers while there are too many.
func (t *Tracker) hold(w *Writer, n int) {
	for {
		t.mu.Lock()
		t.add(w.owner, n)
		n = 0
		slowest, err := t.excess(w.owner)
		t.mu.Unlock()
		if slowest == nil || !slowest.end(err) {
			return
		}
	}
}

// excess returns the slowest caller and why it is to be ended if too many bytes are held.
func (t *Tracker) excess(owner account.ID) (*Writer, error) {
	switch {
	case t.byOwner[owner] > t.opts.MaxAccountBytes:
		if w := t.slowest(func(w *Writer) bool { return w.owner == owner }); w != nil {
			return w, ErrAccountBytes.New("%d bytes wait for callers of the account, more than %d", t.byOwner[owner], t.opts.MaxAccountBytes)
		}
	case t.held > t.opts.MaxBytes:
		if w := t.slowest(func(*Writer) bool { return true }); w != nil {
			return w, ErrVMBytes.New("%d bytes wait for callers, more than %d", t.held, t.opts.MaxBytes)
		}
	}
	return nil, nil
}

// slowest returns the matching caller that has taken nothing for the longest time, nil if all
// have lately. The caller holds mu.
func (t *Tracker) slowest(match func(*Writer) bool) *Writer {
	var slowest *Writer
	var longest time.Duration
	for w := range t.writers {
		if stalled := w.stalledFor(t.clock.Now()); match(w) && stalled >= slowAfter && stalled > longest {
			slowest, longest = w, stalled
		}
	}
	return slowest
}

// release removes bytes that were taken, or that nobody waits for any more.
func (t *Tracker) release(w *Writer, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(w.owner, -n)
}

// add changes the number of bytes held for an account. It may be below zero for a moment, as a
// Writer may end while it is about to hold more. The caller holds mu.
func (t *Tracker) add(owner account.ID, n int) {
	t.held += n
	if t.byOwner[owner] += n; t.byOwner[owner] == 0 {
		delete(t.byOwner, owner)
	}
}

// register adds a Writer that begins.
func (t *Tracker) register(w *Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writers[w] = struct{}{}
}

// remove forgets a Writer that has ended.
func (t *Tracker) remove(w *Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.writers, w)
}
