package engineclient

import (
	"time"

	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/sequence"
)

// unreservedBytes is the capacity of a stream's buffer that is not counted in the memory budget.
const unreservedBytes = 4 << 10

// progress tells new pieces of a stream from what doesn't extend the wait for the next one: comments, pieces that were
// received before and parts of an event. It bounds the memory of the latter.
type progress struct {
	// attempt is the attempt whose pieces count, and highest the highest index that was received.
	attempt string
	highest int
	// unfinished is the number of bytes since the last event.
	unfinished int
	// memory is what the buffer of unfinished bytes keeps; its capacity, of reserved bytes, never shrinks.
	memory   *membudget.Reservation
	reserved int
}

// isNew records a piece and reports whether it has a higher index than all before it.
func (p *progress) isNew(piece sequence.Piece) bool {
	if piece.Attempt != p.attempt || piece.Index <= p.highest {
		return false
	}
	p.highest = piece.Index
	return true
}

// keep reserves memory for n more bytes of an event that is not complete. The buffer grows by doubling. Errors: those
// of membudget.Reservation.Grow.
func (p *progress) keep(n int) error {
	p.unfinished += n
	size := max(p.reserved, unreservedBytes)
	for size < p.unfinished {
		size *= 2
	}
	if size == max(p.reserved, unreservedBytes) {
		return nil
	}
	// Both the old and the new buffer are kept while the bytes are copied.
	if err := p.memory.Grow(size); err != nil {
		return err
	}
	p.memory.Shrink(p.reserved)
	p.reserved = size
	return nil
}

// progressReader reads the response body. It aborts the stream if no new piece arrives within the idle time limit; the
// time that flush takes isn't counted.
type progressReader struct {
	stream *Stream
	flush  func()
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	s := r.stream
	if r.flush != nil {
		startedAt := time.Now()
		r.flush()
		s.silence.pause(time.Since(startedAt))
	}
	if !s.silence.begin() {
		return 0, ErrSilent.New("no new piece received for %v", s.idleTimeout)
	}
	n, err := s.resp.Body.Read(b)
	s.silence.end()
	if n > 0 {
		s.silence.insist()
	}
	if err := s.progress.keep(n); err != nil {
		return 0, NoRoomError(err)
	}
	return n, err
}
