package engine

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/host"
)

const foreignAttempt = "another-attempt"

// resume replays a stream after the piece that Last-Event-ID names.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	if s.faultBeforeRead(w, r) {
		return
	}
	attempt := r.PathValue("attempt")
	st, ok := s.streams.get(attempt)
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_attempt", "no such stream")
		return
	}
	from, ok := resumeIndex(r.Header.Get("Last-Event-ID"), attempt)
	if !ok {
		writeError(w, http.StatusBadRequest, "invalid_request_error", "Last-Event-ID is not of this attempt")
		return
	}
	w.Header().Set(HeaderAttempt, attempt)
	s.writeStream(w, r, st, from)
}

// resumeIndex returns the index of the first piece to send.
func resumeIndex(lastEventID, attempt string) (int, bool) {
	if lastEventID == "" {
		return 0, true
	}
	index, ok := strings.CutPrefix(lastEventID, attempt+"/")
	last, err := strconv.Atoi(index)
	return last + 1, ok && err == nil && last >= 0
}

func (s *Server) cancelStream(w http.ResponseWriter, r *http.Request) {
	st, ok := s.streams.get(r.PathValue("attempt"))
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_attempt", "no such stream")
		return
	}
	st.cancel()
	w.WriteHeader(http.StatusNoContent)
}

// writer sends the pieces of one stream, with at most one fault among them.
type writer struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	st      *stream
	rule    fault.Rule
	strikes bool
	at      int
	held    []byte
}

func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, st *stream, from int) {
	out := &writer{s: s, w: w, r: r, control: http.NewResponseController(w), st: st}
	out.rule, out.strikes = s.Faults.Trigger(r, Silent, Slow, HalfAnswer, DuplicatePiece, ReorderPieces, ForeignPiece, Crash)
	out.at = out.rule.AfterPieces
	if out.rule.Kind == HalfAnswer && out.at == 0 {
		out.at = st.total / 2
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	if out.strikes && out.at == 0 && !out.strike(0) {
		return
	}
	out.run(from)
}

// run sends all pieces from the given index on. A stream that can't be ended
// whole is aborted.
func (o *writer) run(from int) {
	buffer := make([]byte, 0, 512)
	for i := from; i <= o.st.total; i++ {
		if !o.st.available(i) {
			_ = o.control.Flush()
		}
		if _, whole := o.st.wait(o.r.Context(), i); !whole {
			panic(http.ErrAbortHandler)
		}
		if o.strikes && o.at > 0 && i == o.at && !o.strike(i) {
			return
		}
		if o.rule.Kind == Slow && !o.pause() {
			return
		}
		buffer = o.st.appendEvent(buffer[:0], i)
		if !o.send(i, buffer) {
			return
		}
	}
	_, _ = o.w.Write([]byte("data: [DONE]\n\n"))
	_ = o.control.Flush()
}

// strike applies the fault at piece i and reports whether the stream goes on.
func (o *writer) strike(i int) bool {
	switch o.rule.Kind {
	case Silent:
		if i > 0 {
			_ = o.control.Flush()
		}
		<-o.r.Context().Done()
		return false
	case HalfAnswer:
		_ = o.control.Flush()
		host.ResetConnection(o.w)
		return false
	case Crash:
		o.s.cancel()
		o.s.host.Crash()
		return false
	case ForeignPiece:
		other := &stream{attempt: foreignAttempt, ref: o.st.ref, chat: o.st.chat, answer: answer{hash: 1}, total: o.st.total}
		_, _ = o.w.Write(other.appendEvent(nil, i+1))
	case DuplicatePiece:
		_, _ = o.w.Write(o.st.appendEvent(nil, i))
	}
	return true
}

func (o *writer) pause() bool {
	_ = o.control.Flush()
	return fault.Wait(o.r.Context(), o.s.clock, o.rule.Delay())
}

// send writes one event; a reordered one is held until the next is out.
func (o *writer) send(i int, event []byte) bool {
	if o.rule.Kind == ReorderPieces && i == o.at && i < o.st.total {
		o.held = append([]byte(nil), event...)
		return true
	}
	if _, err := o.w.Write(event); err != nil {
		return false
	}
	if o.held != nil {
		_, _ = o.w.Write(o.held)
		o.held = nil
	}
	return true
}

// writeWhole answers with the whole text once it is made.
func (s *Server) writeWhole(w http.ResponseWriter, r *http.Request, st *stream) {
	rule, strikes := s.Faults.Trigger(r, Silent, Slow, HalfAnswer, ForeignPiece, Crash)
	if strikes && rule.Kind == Silent {
		<-r.Context().Done()
		return
	}
	if strikes && rule.Kind == Crash {
		s.cancel()
		s.host.Crash()
		return
	}
	if strikes && rule.Kind == Slow && !fault.Wait(r.Context(), s.clock, rule.Delay()) {
		return
	}
	if _, whole := st.wait(r.Context(), st.total); !whole {
		panic(http.ErrAbortHandler)
	}
	if strikes && rule.Kind == ForeignPiece {
		w.Header().Set(HeaderAttempt, foreignAttempt)
		st = &stream{attempt: foreignAttempt, ref: st.ref, chat: st.chat, answer: answer{hash: 1}, total: st.total}
	}
	text := st.whole()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if strikes && rule.Kind == HalfAnswer {
		_, _ = w.Write(text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		host.ResetConnection(w)
		return
	}
	_, _ = w.Write(text)
}
