package egress

import (
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/account"
)

// Destination is the connection to a caller.
type Destination interface {
	Write(b []byte) (int, error)
	Flush() error
	// SetWriteDeadline sets until when writes may block.
	SetWriteDeadline(at time.Time) error
}

// maxWriteBytes is the largest part that is written at once, so that a caller that takes a
// large answer slowly is seen to take some of it.
const maxWriteBytes = 32 << 10

// Writer sends one answer to its caller. Send, SendWhole and Close are called by one
// goroutine; End may be called by any.
type Writer struct {
	tracker *Tracker
	owner   account.ID
	to      Destination
	// cancel ends the upstream's attempt.
	cancel func()
	// done is closed when nothing more is written.
	done chan struct{}
	// progressAt is when the caller last took something, in Unix nanoseconds, and zero while
	// nothing waits for it. It is written under mu.
	progressAt atomic.Int64

	mu      sync.Mutex
	pending [][]byte
	// held is the length of what waits, with the part that is being written.
	held    int
	closing bool
	// finished reports that everything was written after Close. The connection may belong to the
	// next request by then.
	finished bool
	err      error
	// queued receives a value when there is something to write, and taken when bytes were
	// taken or the Writer has ended.
	queued, taken chan struct{}
}

// Begin returns a Writer for a caller of a client account. cancel is called if the caller has to
// be ended. Close must be called.
func (t *Tracker) Begin(owner account.ID, to Destination, cancel func()) *Writer {
	w := &Writer{
		tracker: t, owner: owner, to: to, cancel: cancel, done: make(chan struct{}),
		queued: make(chan struct{}, 1), taken: make(chan struct{}, 1),
	}
	t.register(w)
	go w.run()
	return w
}

// Send queues a copy of b, which is a part of an answer that still goes on. While too much
// waits for the caller, it blocks for up to Options.MaxHoldUp. Errors: those of the package.
func (w *Writer) Send(b []byte) error {
	var heldUp <-chan time.Time
	for {
		w.mu.Lock()
		err, full := w.err, w.held > 0 && w.held+len(b) > w.tracker.opts.MaxAnswerBytes
		w.mu.Unlock()
		if err != nil {
			return err
		}
		if !full {
			return w.queue(append([]byte(nil), b...))
		}
		if heldUp == nil {
			heldUp = w.tracker.clock.After(w.tracker.opts.MaxHoldUp)
		}
		select {
		case <-w.taken:
		case <-heldUp:
			w.end(ErrHeldUp.New("caller read too slowly for %v with %d bytes waiting", w.tracker.opts.MaxHoldUp, w.tracker.opts.MaxAnswerBytes))
		}
	}
}

// SendWhole queues b, which is a whole answer and must not be changed any more. Errors: those of
// the package.
func (w *Writer) SendWhole(b []byte) error { return w.queue(b) }

// queue adds b to what waits for the caller. Errors: those of the package.
func (w *Writer) queue(b []byte) error {
	w.mu.Lock()
	if w.err != nil {
		defer w.mu.Unlock()
		return w.err
	}
	if w.held == 0 {
		w.progressAt.Store(w.tracker.clock.Now().UnixNano())
	}
	w.held += len(b)
	w.pending = append(w.pending, b)
	w.mu.Unlock()
	w.tracker.hold(w, len(b))
	signal(w.queued)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Close waits until the caller has taken everything or is ended. Errors: those of the package.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	signal(w.queued)
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// End drops what waits and ends the Writer. It returns when nothing more is written. After Close
// it does nothing.
func (w *Writer) End() {
	select {
	case <-w.done:
		return
	default:
	}
	w.end(ErrEnded.New("the answer was ended"))
	<-w.done
}

// end ends the Writer for a reason, and returns false if it had ended before.
func (w *Writer) end(reason error) bool {
	w.mu.Lock()
	if w.err != nil || w.finished {
		w.mu.Unlock()
		return false
	}
	w.err = reason
	// A write that blocks returns at once.
	_ = w.to.SetWriteDeadline(time.Unix(1, 0))
	dropped := w.held
	w.held, w.pending = 0, nil
	w.progressAt.Store(0)
	w.mu.Unlock()
	w.tracker.release(w, dropped)
	w.cancel()
	signal(w.queued)
	signal(w.taken)
	if !errorx.IsOfType(reason, ErrGone) && !errorx.IsOfType(reason, ErrEnded) {
		w.tracker.onEnd(reason)
	}
	return true
}

// stalledFor returns for how long the caller has taken nothing of what waits for it.
func (w *Writer) stalledFor(now time.Time) time.Duration {
	at := w.progressAt.Load()
	if at == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, at))
}

// run writes what is queued until the Writer is closed or ended.
func (w *Writer) run() {
	defer close(w.done)
	defer w.tracker.remove(w)
	for {
		parts, open := w.next()
		if len(parts) > 0 {
			w.recordWritten(parts, w.write(parts))
			continue
		}
		if !open {
			return
		}
		<-w.queued
	}
}

// next returns what to write next, and sets the deadline of the write. It returns false when
// the Writer is closed or has ended.
func (w *Writer) next() (parts [][]byte, open bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return nil, false
	}
	for left := maxWriteBytes; left > 0 && len(w.pending) > 0; {
		b := w.pending[0]
		if len(b) > left {
			w.pending[0] = b[left:]
			b = b[:left]
		} else {
			w.pending = w.pending[1:]
		}
		parts, left = append(parts, b), left-len(b)
	}
	if len(parts) == 0 {
		w.finished = w.closing
		return nil, !w.closing
	}
	// The deadline of a connection is by the system's clock, not the Tracker's. An error is ignored,
	// as destinations of tests have no deadlines.
	_ = w.to.SetWriteDeadline(time.Now().Add(w.tracker.opts.WriteTimeout))
	return parts, true
}

// write writes parts and flushes them together.
func (w *Writer) write(parts [][]byte) error {
	for _, b := range parts {
		if _, err := w.to.Write(b); err != nil {
			return err
		}
	}
	return w.to.Flush()
}

// recordWritten records that the caller took the parts, or ends the Writer if writing failed.
func (w *Writer) recordWritten(parts [][]byte, err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.end(ErrWriteTimeout.Wrap(err, "caller took nothing for %v", w.tracker.opts.WriteTimeout))
		return
	case err != nil:
		w.end(ErrGone.Wrap(err, "write to caller"))
		return
	}
	bytes := 0
	for _, b := range parts {
		bytes += len(b)
	}
	w.mu.Lock()
	if w.err != nil {
		// What was held has been released.
		w.mu.Unlock()
		return
	}
	w.held -= bytes
	w.progressAt.Store(w.tracker.clock.Now().UnixNano())
	if w.held == 0 {
		w.progressAt.Store(0)
	}
	w.mu.Unlock()
	w.tracker.release(w, bytes)
	signal(w.taken)
}

// signal sends a value without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
