package entry

import (
	"net/http"
	"runtime/debug"

	"github.com/poplarshore/poplarshore/refusal"
)

// answerPanic ends an exchange whose handling panicked: its caller is told that the router failed, or
// the answer that has begun is broken off. It must be deferred.
func (s *Server) answerPanic(x *Exchange, w *responseWriter) {
	cause := recover()
	switch cause {
	case nil:
		return
	case http.ErrAbortHandler:
		panic(cause)
	}
	s.Log.Error("panic while handling a request", "request", x.ID, "cause", cause, "stack", string(debug.Stack()))
	s.finish(x, w, refusal.New(refusal.InternalFault))
}
