// Package engineclient speaks to model engines: it opens, resumes and cancels
// streamed answers and reads load reports.
//
// Every answer is asked for as a stream, also where the caller wants it whole,
// so that a broken connection can be resumed after the last whole piece.
package engineclient

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("engineclient")

var (
	// ErrConnect reports that no connection could be opened; nothing was sent.
	ErrConnect = namespace.NewType("connect")
	// ErrNotStarted reports that the engine refused before starting.
	ErrNotStarted = namespace.NewType("not_started")
	// ErrRejected reports a refusal of the request itself; another engine
	// would refuse it too.
	ErrRejected = namespace.NewType("rejected")
	// ErrStatus reports an error status without a statement about the start.
	ErrStatus = namespace.NewType("status")
	// ErrBroken reports a connection that broke before the answer's end.
	ErrBroken = namespace.NewType("broken")
	// ErrSilent reports a connection on which nothing came for too long.
	ErrSilent = namespace.NewType("silent")
	// ErrGone reports that the engine no longer has the stream.
	ErrGone = namespace.NewType("gone")
	// ErrMalformed reports a reply that does not follow the protocol.
	ErrMalformed = namespace.NewType("malformed")
)

// Started tells whether the engine may have begun work before err.
func Started(err error) bool {
	return !errorx.IsOfType(err, ErrConnect) && !errorx.IsOfType(err, ErrNotStarted)
}

var drainingProperty = errorx.RegisterProperty("engine_draining")

// Draining tells whether the engine said, with the refusal, that it is leaving.
func Draining(err error) bool {
	_, ok := errorx.ExtractProperty(err, drainingProperty)
	return ok
}
