// Package sequence puts the pieces of one attempt's answer in order.
//
// Pieces are keyed by attempt and index. Pieces of other attempts and pieces
// seen before are dropped and counted; pieces that came early are held until
// the missing ones arrive.
package sequence

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("sequence")

// ErrTooFarAhead reports a piece beyond the bound on held pieces.
var ErrTooFarAhead = namespace.NewType("too_far_ahead")

// maxHeld bounds the pieces held for a missing one.
const maxHeld = 256

// Piece is one part of an answer.
type Piece struct {
	Attempt string
	Index   int
	Data    string
}

// Dropped counts the pieces that were not passed on.
type Dropped struct {
	Foreign   int
	Duplicate int
}

// Sequencer orders the pieces of one attempt.
type Sequencer struct {
	attempt string
	next    int
	held    map[int]Piece
	ready   []Piece
	dropped Dropped
}

// New returns a sequencer that expects index first next.
func New(attempt string, first int) *Sequencer {
	return &Sequencer{attempt: attempt, next: first}
}

// Accept takes a piece and returns the pieces that are now in order. The
// slice is valid until the next call. It returns ErrTooFarAhead when too many
// pieces would be held.
func (s *Sequencer) Accept(p Piece) ([]Piece, error) {
	s.ready = s.ready[:0]
	switch {
	case p.Attempt != s.attempt:
		s.dropped.Foreign++
		return nil, nil
	case p.Index < s.next:
		s.dropped.Duplicate++
		return nil, nil
	case p.Index > s.next:
		return nil, s.hold(p)
	}
	s.release(p)
	return s.ready, nil
}

// Next returns the index of the first piece that is missing.
func (s *Sequencer) Next() int {
	return s.next
}

// Whole tells whether no piece is waiting for an earlier one.
func (s *Sequencer) Whole() bool {
	return len(s.held) == 0
}

// Dropped returns the counts of dropped pieces.
func (s *Sequencer) Dropped() Dropped {
	return s.dropped
}

func (s *Sequencer) hold(p Piece) error {
	if p.Index-s.next > maxHeld {
		return ErrTooFarAhead.New("piece %d came while %d is missing", p.Index, s.next)
	}
	if s.held == nil {
		s.held = make(map[int]Piece)
	}
	if _, ok := s.held[p.Index]; ok {
		s.dropped.Duplicate++
	}
	s.held[p.Index] = p
	return nil
}

func (s *Sequencer) release(p Piece) {
	s.ready = append(s.ready, p)
	s.next++
	for len(s.held) > 0 {
		p, ok := s.held[s.next]
		if !ok {
			return
		}
		delete(s.held, s.next)
		s.ready = append(s.ready, p)
		s.next++
	}
}
