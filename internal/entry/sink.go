package entry

import (
	"io"
	"net/http"
	"strconv"

	"github.com/poplarshore/poplarshore/internal/assemble"
	"github.com/poplarshore/poplarshore/internal/sequence"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
)

// sink takes the ordered pieces of the attempt that may become the answer.
type sink interface {
	// start tells which version's pieces follow. It may be called again, for
	// a fresh attempt, while nothing has reached the caller.
	start(a *attempt)
	// piece takes the next piece.
	piece(p sequence.Piece) error
	// flush is called before the attempt waits for more pieces.
	flush()
	// begun tells whether anything has reached the caller.
	begun() bool
}

// streamSink passes pieces on to the caller as they come. The piece with the
// usage, which ends the answer, is kept back until the answer is billed.
type streamSink struct {
	w       http.ResponseWriter
	headers func(h http.Header, ref model.Ref)
	// onBegin is called when the first piece reaches the caller.
	onBegin func()
	// sampled tells to keep a copy of the answer for rating.
	sampled bool

	attempt *attempt
	copy    *assemble.Assembler
	last    []sequence.Piece
	started bool
	dirty   bool
	buf     []byte
}

func (s *streamSink) start(a *attempt) {
	s.attempt = a
	s.last = nil
	if s.sampled {
		s.copy = &assemble.Assembler{}
	}
}

func (s *streamSink) begun() bool {
	return s.started
}

func (s *streamSink) piece(p sequence.Piece) error {
	if s.copy != nil && s.copy.Add(p.Data) != nil {
		s.copy = nil
	}
	if len(s.last) > 0 || s.attempt.usageKnown {
		s.last = append(s.last, p)
		return nil
	}
	return s.write(p)
}

func (s *streamSink) write(p sequence.Piece) error {
	if !s.started {
		s.begin()
	}
	s.buf = s.buf[:0]
	s.buf = append(s.buf, "id: "...)
	s.buf = strconv.AppendInt(s.buf, int64(p.Index), 10)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, p.Data...)
	s.buf = append(s.buf, "\n\n"...)
	s.dirty = true
	if _, err := s.w.Write(s.buf); err != nil {
		return refusal.Wrap(refusal.CallerGone, err)
	}
	return nil
}

func (s *streamSink) begin() {
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.headers(h, s.attempt.ref)
	s.w.WriteHeader(http.StatusOK)
	s.onBegin()
}

func (s *streamSink) flush() {
	if !s.dirty {
		return
	}
	s.dirty = false
	_ = http.NewResponseController(s.w).Flush()
}

// end sends what was kept back and the end mark.
func (s *streamSink) end() error {
	for _, p := range s.last {
		if err := s.write(p); err != nil {
			return err
		}
	}
	if _, err := io.WriteString(s.w, "data: [DONE]\n\n"); err != nil {
		return refusal.Wrap(refusal.CallerGone, err)
	}
	s.dirty = true
	s.flush()
	return nil
}

// holdSink keeps a whole answer, because the caller wants it in one piece or
// because it must be rated first.
type holdSink struct {
	chat     bool
	maxBytes int64

	attempt *attempt
	pieces  []sequence.Piece
	bytes   int64
	answer  *assemble.Assembler
}

func (s *holdSink) start(a *attempt) {
	s.attempt = a
	s.pieces = s.pieces[:0]
	s.bytes = 0
	s.answer = &assemble.Assembler{Chat: s.chat}
}

func (s *holdSink) begun() bool { return false }

func (s *holdSink) flush() {}

func (s *holdSink) piece(p sequence.Piece) error {
	s.bytes += int64(len(p.Data))
	if s.bytes > s.maxBytes {
		return refusal.New(refusal.AnswerCut).With("The answer is larger than %d bytes.", s.maxBytes)
	}
	s.pieces = append(s.pieces, p)
	if err := s.answer.Add(p.Data); err != nil {
		return refusal.Wrap(refusal.UpstreamFailed, err)
	}
	return nil
}
