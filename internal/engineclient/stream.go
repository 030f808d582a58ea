package engineclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	sse "github.com/tmaxmax/go-sse"

	"github.com/poplarshore/poplarshore/internal/sequence"
)

// doneMark is the data of the event that ends an answer.
const doneMark = "[DONE]"

// maxTrailBytes bounds what is read after the end mark.
const maxTrailBytes = 4 << 10

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Stream is one connection that carries pieces of an attempt's answer.
type Stream struct {
	// Draining tells that the engine says it is leaving.
	Draining bool

	resp   *http.Response
	cancel context.CancelCauseFunc
	ctx    context.Context
	idle   time.Duration
	pool   suspecter
	quiet  *time.Timer
	silent atomic.Bool
}

// suspecter drops connections that may have gone silent too.
type suspecter interface{ Suspect() }

// Pieces reads the stream and calls yield for each piece, in the order of
// arrival. It calls flush each time before it waits for more bytes. It returns
// nil after the end mark, the error of yield, or ErrBroken, ErrSilent or
// ErrMalformed.
func (s *Stream) Pieces(yield func(sequence.Piece) error, flush func()) error {
	err := s.read(yield, flush)
	if err == nil {
		go s.drain()
	} else {
		s.Close()
	}
	return err
}

// drain reads what follows the end mark, which is the end of the response, so
// that the connection can be used again. It holds nobody up.
func (s *Stream) drain() {
	defer s.Close()
	s.quiet.Reset(s.idle)
	_, _ = io.CopyN(io.Discard, s.resp.Body, maxTrailBytes)
}

func (s *Stream) read(yield func(sequence.Piece) error, flush func()) error {
	body := &watched{stream: s, flush: flush}
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return s.classify(err)
		}
		if ev.Data == doneMark {
			return nil
		}
		p, err := parsePiece(ev)
		if err != nil {
			return err
		}
		if err := yield(p); err != nil {
			return err
		}
	}
	return s.classify(io.ErrUnexpectedEOF)
}

// Close ends the connection's use.
func (s *Stream) Close() {
	s.quiet.Stop()
	s.cancel(nil)
	_ = s.resp.Body.Close()
}

func (s *Stream) classify(err error) error {
	if s.silent.Load() {
		return ErrSilent.Wrap(err, "no piece for %v", s.idle)
	}
	if cause := context.Cause(s.ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return ErrBroken.Wrap(err, "stream ended early")
}

// watched reads the response body under the idle limit.
type watched struct {
	stream *Stream
	flush  func()
}

func (w *watched) Read(b []byte) (int, error) {
	if w.flush != nil {
		w.flush()
	}
	w.stream.quiet.Reset(w.stream.idle)
	n, err := w.stream.resp.Body.Read(b)
	w.stream.quiet.Stop()
	return n, err
}

// parsePiece reads an event whose id is "attempt/index".
func parsePiece(ev sse.Event) (sequence.Piece, error) {
	cut := strings.LastIndexByte(ev.LastEventID, '/')
	if cut < 0 {
		return sequence.Piece{}, ErrMalformed.New("event id %q is not attempt/index", ev.LastEventID)
	}
	index, err := strconv.Atoi(ev.LastEventID[cut+1:])
	if err != nil {
		return sequence.Piece{}, ErrMalformed.Wrap(err, "event id %q", ev.LastEventID)
	}
	return sequence.Piece{Attempt: ev.LastEventID[:cut], Index: index, Data: ev.Data}, nil
}
