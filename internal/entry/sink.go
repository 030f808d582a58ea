package entry

import (
	"io"
	"net/http"
	"strconv"

	"github.com/poplarshore/poplarshore/internal/assemble"
	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/internal/sequence"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
)

// answerSink receives the pieces, in order, of the attempt that may become the answer.
type answerSink interface {
	// start announces the attempt whose pieces follow. It may be called again for a
	// new attempt, which discards the pieces of the former one, if nothing was sent
	// to the caller yet.
	start(a *attempt)
	// writePiece receives the next piece.
	writePiece(p sequence.Piece) error
	// flush sends buffered data to the caller. It is called before the attempt waits
	// for more pieces.
	flush()
	// started reports whether anything was sent to the caller.
	started() bool
}

// streamSink streams pieces to the caller as they arrive. The piece with the usage,
// which ends the answer, and any later ones are withheld until the answer is billed.
type streamSink struct {
	w          http.ResponseWriter
	setHeaders func(h http.Header, ref model.Ref)
	// onStart is called when the response header is sent, before the first piece.
	onStart func()
	// sampled reports whether to keep a copy of the answer for rating.
	sampled bool

	keep     keeper
	maxBytes int64

	attempt    *attempt
	ratingCopy *assemble.Assembler
	// ratingBytes is the length of the pieces in ratingCopy, and ratingKept its memory.
	ratingBytes int64
	ratingKept  *kept
	// withheldBytes is the length of the withheld pieces, and withheldKept their memory.
	withheld      []sequence.Piece
	withheldBytes int64
	withheldKept  *kept
	headerSent    bool
	unflushed     bool
	buf           []byte
}

// newStreamSink returns a sink for the caller of an exchange.
func (s *Server) newStreamSink(x *Exchange, w http.ResponseWriter) *streamSink {
	return &streamSink{w: w, onStart: func() {}, keep: s.keeperOf(x), maxBytes: s.opts.MaxBufferedBytes}
}

func (s *streamSink) start(a *attempt) {
	if s.attempt != nil {
		s.withheldKept.release()
		s.ratingKept.release()
	}
	s.attempt = a
	s.withheld, s.withheldBytes, s.withheldKept = nil, 0, s.keep(a)
	s.ratingCopy, s.ratingBytes, s.ratingKept = nil, 0, s.keep(a)
	if s.sampled {
		s.ratingCopy = &assemble.Assembler{}
	}
}

func (s *streamSink) started() bool {
	return s.headerSent
}

func (s *streamSink) writePiece(p sequence.Piece) error {
	s.copyForRating(p)
	if len(s.withheld) > 0 || s.attempt.usageKnown {
		return s.withhold(p)
	}
	return s.sendPiece(p)
}

// copyForRating adds the piece to the copy for rating. A copy for which there is no memory is dropped.
func (s *streamSink) copyForRating(p sequence.Piece) {
	if s.ratingCopy == nil {
		return
	}
	s.ratingBytes += int64(len(p.Data))
	if s.ratingBytes > s.maxBytes || s.ratingKept.add(len(p.Data)) != nil || s.ratingCopy.Add(p.Data) != nil {
		s.ratingCopy = nil
		s.ratingKept.release()
	}
}

// withhold keeps a piece until the answer is billed.
func (s *streamSink) withhold(p sequence.Piece) error {
	s.withheldBytes += int64(len(p.Data))
	if s.withheldBytes > s.maxBytes {
		return engineclient.ErrMalformed.New("more than %d bytes after the usage", s.maxBytes)
	}
	if err := s.withheldKept.add(len(p.Data)); err != nil {
		return err
	}
	s.withheld = append(s.withheld, p)
	return nil
}

func (s *streamSink) sendPiece(p sequence.Piece) error {
	if !s.headerSent {
		s.sendHeader()
	}
	s.buf = s.buf[:0]
	s.buf = append(s.buf, "id: "...)
	s.buf = strconv.AppendInt(s.buf, int64(p.Index), 10)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, p.Data...)
	s.buf = append(s.buf, "\n\n"...)
	s.unflushed = true
	if _, err := s.w.Write(s.buf); err != nil {
		return refusal.Wrap(refusal.CallerGone, err)
	}
	return nil
}

func (s *streamSink) sendHeader() {
	s.headerSent = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.setHeaders(h, s.attempt.ref)
	s.w.WriteHeader(http.StatusOK)
	s.onStart()
}

func (s *streamSink) flush() {
	if !s.unflushed {
		return
	}
	s.unflushed = false
	_ = http.NewResponseController(s.w).Flush()
}

// finish sends the withheld pieces and the end marker of the stream.
func (s *streamSink) finish() error {
	for _, p := range s.withheld {
		if err := s.sendPiece(p); err != nil {
			return err
		}
	}
	if _, err := io.WriteString(s.w, "data: [DONE]\n\n"); err != nil {
		return refusal.Wrap(refusal.CallerGone, err)
	}
	s.unflushed = true
	s.flush()
	return nil
}

// bufferedCopies is how often a bufferSink keeps the data of a piece: as it came and assembled.
const bufferedCopies = 2

// bufferSink buffers a complete answer, because the caller did not request a stream or
// because the answer must be rated first.
type bufferSink struct {
	chat     bool
	maxBytes int64
	keep     keeper

	attempt       *attempt
	kept          *kept
	pieces        []sequence.Piece
	bufferedBytes int64
	assembler     *assemble.Assembler
}

func (s *bufferSink) start(a *attempt) {
	if s.kept != nil {
		s.kept.release()
	}
	s.attempt = a
	s.kept = s.keep(a)
	s.pieces = s.pieces[:0]
	s.bufferedBytes = 0
	s.assembler = &assemble.Assembler{Chat: s.chat}
}

func (s *bufferSink) started() bool { return false }

func (s *bufferSink) flush() {}

func (s *bufferSink) writePiece(p sequence.Piece) error {
	s.bufferedBytes += int64(len(p.Data))
	if s.bufferedBytes > s.maxBytes {
		return refusal.New(refusal.AnswerCut).With("The answer is larger than %d bytes.", s.maxBytes)
	}
	if err := s.kept.add(bufferedCopies * len(p.Data)); err != nil {
		return err
	}
	s.pieces = append(s.pieces, p)
	if err := s.assembler.Add(p.Data); err != nil {
		return refusal.Wrap(refusal.UpstreamFailed, err)
	}
	return nil
}
