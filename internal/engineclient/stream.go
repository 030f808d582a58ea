package engineclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	sse "github.com/tmaxmax/go-sse"

	"github.com/poplarshore/poplarshore/internal/sequence"
)

// doneData is the data of the event that ends a response.
const doneData = "[DONE]"

// maxBytesAfterDone is how much is read after the final event in order to reach
// the end of the response.
const maxBytesAfterDone = 4 << 10

// maxEventBytes is the largest accepted event of a stream.
const maxEventBytes = 1 << 20

// Stream reads pieces of an attempt's response from one HTTP response. Pieces or
// Close must be called.
type Stream struct {
	// Draining reports whether the engine states that it is draining.
	Draining bool

	resp        *http.Response
	cancel      context.CancelCauseFunc
	ctx         context.Context
	idleTimeout time.Duration
	progress    progress
	pool        idleCloser
	silence     *silenceTimer
}

// idleCloser closes unused connections, which may be dead after a time-out on
// another connection to the same engine.
type idleCloser interface{ CloseIdle() }

// Pieces reads the stream and calls yield for each piece in the order of arrival.
// It calls flush, unless that is nil, before each wait for more data. It returns
// nil after the final event; otherwise the error of yield, the cause of the
// context's cancellation, ErrBroken, ErrSilent, ErrMalformed or ErrNoRoom. ErrSilent
// also means that no new piece arrived, whatever else did. The stream must not be used
// afterwards.
func (s *Stream) Pieces(yield func(sequence.Piece) error, flush func()) error {
	err := s.read(yield, flush)
	if err == nil {
		go s.drainAfterDone()
	} else {
		s.Close()
	}
	return err
}

// drainAfterDone reads the rest of the response after the final event, so that the
// connection can be reused. It runs in the background and does not delay the
// caller.
func (s *Stream) drainAfterDone() {
	defer s.Close()
	s.silence.renew(s.idleTimeout)
	if !s.silence.begin() {
		return
	}
	_, _ = io.CopyN(io.Discard, s.resp.Body, maxBytesAfterDone)
}

// read passes pieces to yield until the final event.
func (s *Stream) read(yield func(sequence.Piece) error, flush func()) error {
	s.silence.renew(s.idleTimeout)
	body := &progressReader{stream: s, flush: flush}
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return s.streamError(err)
		}
		s.progress.unfinished = 0
		if ev.Data == doneData {
			return nil
		}
		p, err := parsePiece(ev)
		if err != nil {
			return err
		}
		if err := yield(p); err != nil {
			return err
		}
		if s.progress.isNew(p) {
			s.silence.renew(s.idleTimeout)
		}
	}
	return s.streamError(io.ErrUnexpectedEOF)
}

// Close ends the stream. A connection whose response was not read to its end is
// closed.
func (s *Stream) Close() {
	s.silence.end()
	s.cancel(nil)
	_ = s.resp.Body.Close()
	s.progress.memory.Release()
}

// streamError returns the error for a stream that failed with err.
func (s *Stream) streamError(err error) error {
	if s.silence.hasExpired() {
		return ErrSilent.Wrap(err, "no new piece received for %v", s.idleTimeout)
	}
	if errorx.IsOfType(err, ErrNoRoom) {
		return err
	}
	if errors.Is(err, bufio.ErrTooLong) {
		return ErrMalformed.Wrap(err, "event of more than %d bytes", maxEventBytes)
	}
	if cause := context.Cause(s.ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return ErrBroken.Wrap(err, "stream ended before the final event")
}

// parsePiece converts an event with the id "attempt/index" into a piece. Errors:
// ErrMalformed.
func parsePiece(ev sse.Event) (sequence.Piece, error) {
	slash := strings.LastIndexByte(ev.LastEventID, '/')
	if slash < 0 {
		return sequence.Piece{}, ErrMalformed.New("expected event id attempt/index, got %q", ev.LastEventID)
	}
	index, err := strconv.Atoi(ev.LastEventID[slash+1:])
	if err != nil {
		return sequence.Piece{}, ErrMalformed.Wrap(err, "event id %q", ev.LastEventID)
	}
	return sequence.Piece{Attempt: ev.LastEventID[:slash], Index: index, Data: ev.Data}, nil
}
