package engine

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/host"
)

// otherAttemptID is the attempt ID in the pieces and answers of WrongAttemptPiece.
const otherAttemptID = "another-attempt"

// serveResume serves GET /v1/streams/{attempt}: the stream of an attempt from the piece
// after Last-Event-ID on, or from the start if there is no such header.
func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	if s.injectBeforeRead(w, r) {
		return
	}
	attemptID := r.PathValue("attempt")
	w.Header().Set(HeaderAttempt, attemptID)
	st, ok := s.streams.get(attemptID)
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_attempt", "no such stream")
		return
	}
	first, ok := resumeIndex(r.Header.Get("Last-Event-ID"), attemptID)
	if !ok {
		writeError(w, http.StatusBadRequest, "invalid_request_error", "Last-Event-ID is not of this attempt")
		return
	}
	s.writeStream(w, r, st, first)
}

// resumeIndex returns the index of the first piece to send, and false if lastEventID is not
// an event ID of the attempt.
func resumeIndex(lastEventID, attemptID string) (int, bool) {
	if lastEventID == "" {
		return 0, true
	}
	index, ok := strings.CutPrefix(lastEventID, attemptID+"/")
	last, err := strconv.Atoi(index)
	return last + 1, ok && err == nil && last >= 0
}

// serveCancel serves DELETE /v1/streams/{attempt}: it cancels the run of an attempt.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	st, ok := s.streams.get(r.PathValue("attempt"))
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_attempt", "no such stream")
		return
	}
	st.cancel()
	w.WriteHeader(http.StatusNoContent)
}

// streamWriter writes the pieces of one stream to one response, with at most one fault.
type streamWriter struct {
	server     *Server
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController
	st         *stream
	rule       fault.Rule
	// hasFault reports whether rule is set.
	hasFault bool
	// faultIndex is the index of the piece at which the fault is injected.
	faultIndex int
	// delayedEvent is the event that ReorderPieces writes after the next one.
	delayedEvent []byte
}

// writeStream writes a stream as server-sent events, from the piece with index first on.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, st *stream, first int) {
	sw := &streamWriter{server: s, w: w, r: r, controller: http.NewResponseController(w), st: st}
	sw.rule, sw.hasFault = s.Faults.Trigger(r, Stall, Slow, TruncatedResponse, DuplicatePiece, ReorderPieces, WrongAttemptPiece, Crash)
	sw.faultIndex = sw.rule.AfterPieces
	if sw.rule.Kind == TruncatedResponse && sw.faultIndex == 0 {
		sw.faultIndex = st.totalTokens / 2
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	if sw.hasFault && sw.faultIndex == 0 && !sw.injectFault(0) {
		return
	}
	sw.writeFrom(first)
}

// writeFrom writes all pieces from the index first on. It aborts the connection if the
// stream is cancelled. Written pieces are flushed before each wait and at the end.
func (sw *streamWriter) writeFrom(first int) {
	buffer := make([]byte, 0, 512)
	for i := first; i <= sw.st.totalTokens; i++ {
		if !sw.st.isReady(i) {
			_ = sw.controller.Flush()
		}
		if _, complete := sw.st.wait(sw.r.Context(), i); !complete {
			panic(http.ErrAbortHandler)
		}
		if sw.hasFault && sw.faultIndex > 0 && i == sw.faultIndex && !sw.injectFault(i) {
			return
		}
		if sw.rule.Kind == Slow && !sw.delayPiece() {
			return
		}
		buffer = sw.st.appendEvent(buffer[:0], i)
		if !sw.writeEvent(i, buffer) {
			return
		}
	}
	_, _ = sw.w.Write([]byte("data: [DONE]\n\n"))
	_ = sw.controller.Flush()
}

// injectFault applies the fault at piece i and reports whether writing continues.
func (sw *streamWriter) injectFault(i int) bool {
	switch sw.rule.Kind {
	case Stall:
		if i > 0 {
			_ = sw.controller.Flush()
		}
		<-sw.r.Context().Done()
		return false
	case TruncatedResponse:
		_ = sw.controller.Flush()
		host.ResetConnection(sw.w)
		return false
	case Crash:
		sw.server.cancel()
		sw.server.host.Crash()
		return false
	case WrongAttemptPiece:
		other := &stream{attemptID: otherAttemptID, version: sw.st.version, chat: sw.st.chat, answer: answer{hash: 1}, totalTokens: sw.st.totalTokens}
		_, _ = sw.w.Write(other.appendEvent(nil, i+1))
	case DuplicatePiece:
		_, _ = sw.w.Write(sw.st.appendEvent(nil, i))
	}
	return true
}

// delayPiece waits for the delay of the rule and reports whether the caller is still
// connected.
func (sw *streamWriter) delayPiece() bool {
	_ = sw.controller.Flush()
	return fault.Wait(sw.r.Context(), sw.server.clock, sw.rule.Delay())
}

// writeEvent writes the event of piece i and reports whether writing continues. The event
// that ReorderPieces delays is written after the next one.
func (sw *streamWriter) writeEvent(i int, event []byte) bool {
	if sw.rule.Kind == ReorderPieces && i == sw.faultIndex && i < sw.st.totalTokens {
		sw.delayedEvent = append([]byte(nil), event...)
		return true
	}
	if _, err := sw.w.Write(event); err != nil {
		return false
	}
	if sw.delayedEvent != nil {
		_, _ = sw.w.Write(sw.delayedEvent)
		sw.delayedEvent = nil
	}
	return true
}

// writeResponse writes the complete answer as JSON once it has been generated.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, st *stream) {
	rule, hasFault := s.Faults.Trigger(r, Stall, Slow, TruncatedResponse, WrongAttemptPiece, Crash)
	if hasFault && rule.Kind == Stall {
		<-r.Context().Done()
		return
	}
	if hasFault && rule.Kind == Crash {
		s.cancel()
		s.host.Crash()
		return
	}
	if hasFault && rule.Kind == Slow && !fault.Wait(r.Context(), s.clock, rule.Delay()) {
		return
	}
	if _, complete := st.wait(r.Context(), st.totalTokens); !complete {
		panic(http.ErrAbortHandler)
	}
	if hasFault && rule.Kind == WrongAttemptPiece {
		w.Header().Set(HeaderAttempt, otherAttemptID)
		st = &stream{attemptID: otherAttemptID, version: st.version, chat: st.chat, answer: answer{hash: 1}, totalTokens: st.totalTokens}
	}
	body := st.responseBody()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if hasFault && rule.Kind == TruncatedResponse {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		host.ResetConnection(w)
		return
	}
	_, _ = w.Write(body)
}
