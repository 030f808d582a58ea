// Package sequence puts the pieces of one attempt's response in order.
//
// A piece is identified by its attempt and index. Pieces of other attempts and
// duplicates are dropped and counted. Pieces that arrive early are buffered until
// the missing ones have arrived.
package sequence

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("sequence")

// ErrTooFarAhead reports a piece too far ahead of the first missing one to be
// buffered.
var ErrTooFarAhead = namespace.NewType("too_far_ahead")

// maxBuffered bounds the pieces that are buffered while one is missing.
const maxBuffered = 256

// Piece is one part of a response.
type Piece struct {
	// Attempt identifies the attempt whose response this is.
	Attempt string
	// Index is the position in the response, from 0.
	Index int
	// Data is the content.
	Data string
}

// Dropped counts the dropped pieces by reason.
type Dropped struct {
	// OtherAttempt counts the pieces of other attempts.
	OtherAttempt int
	// Duplicate counts the pieces that had been accepted before.
	Duplicate int
}

// Sequencer orders the pieces of one attempt. It is not safe for concurrent use.
type Sequencer struct {
	attempt  string
	next     int
	buffered map[int]Piece
	ready    []Piece
	dropped  Dropped
	// bufferedBytes is the length of the data of all buffered pieces.
	bufferedBytes int
}

// New returns a sequencer for an attempt whose next piece has the index first.
func New(attempt string, first int) *Sequencer {
	return &Sequencer{attempt: attempt, next: first}
}

// Accept adds a piece and returns the pieces that can be delivered now, in order.
// The slice is valid until the next call. It returns ErrTooFarAhead if the piece is
// more than 256 indices ahead of the first missing one.
func (s *Sequencer) Accept(p Piece) ([]Piece, error) {
	s.ready = s.ready[:0]
	switch {
	case p.Attempt != s.attempt:
		s.dropped.OtherAttempt++
		return nil, nil
	case p.Index < s.next:
		s.dropped.Duplicate++
		return nil, nil
	case p.Index > s.next:
		return nil, s.buffer(p)
	}
	s.deliver(p)
	return s.ready, nil
}

// Next returns the index of the first piece that is missing.
func (s *Sequencer) Next() int {
	return s.next
}

// Contiguous reports whether no buffered piece is waiting for a missing one.
func (s *Sequencer) Contiguous() bool {
	return len(s.buffered) == 0
}

// BufferedBytes returns the length of the data of the pieces that wait for a missing one.
func (s *Sequencer) BufferedBytes() int {
	return s.bufferedBytes
}

// Dropped returns the counts of dropped pieces.
func (s *Sequencer) Dropped() Dropped {
	return s.dropped
}

// buffer keeps a piece until the earlier ones have arrived.
func (s *Sequencer) buffer(p Piece) error {
	if p.Index-s.next > maxBuffered {
		return ErrTooFarAhead.New("piece %d arrived too far ahead of missing piece %d", p.Index, s.next)
	}
	if s.buffered == nil {
		s.buffered = make(map[int]Piece)
	}
	if former, ok := s.buffered[p.Index]; ok {
		s.dropped.Duplicate++
		s.bufferedBytes -= len(former.Data)
	}
	s.buffered[p.Index] = p
	s.bufferedBytes += len(p.Data)
	return nil
}

// deliver adds a piece, and the buffered ones that directly follow it, to the pieces
// that are ready.
func (s *Sequencer) deliver(p Piece) {
	s.ready = append(s.ready, p)
	s.next++
	for len(s.buffered) > 0 {
		p, ok := s.buffered[s.next]
		if !ok {
			return
		}
		delete(s.buffered, s.next)
		s.bufferedBytes -= len(p.Data)
		s.ready = append(s.ready, p)
		s.next++
	}
}
