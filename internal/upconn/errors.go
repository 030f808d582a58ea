package upconn

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("upconn")

var (
	// ErrNotSent reports that no byte of the request was sent, so that it can be
	// repeated.
	ErrNotSent = namespace.NewType("not_sent")
	// ErrRefused is an ErrNotSent: the upstream or the network refused or reset a new
	// connection.
	ErrRefused = ErrNotSent.NewSubtype("connect_refused")
	// ErrConnectTimeout is an ErrNotSent: nothing answered a new connection in time.
	ErrConnectTimeout = ErrNotSent.NewSubtype("connect_timeout")
	// ErrWithdrawn is an ErrNotSent: the upstream was withdrawn while the connection was opened.
	ErrWithdrawn = ErrNotSent.NewSubtype("withdrawn")
	// ErrBroken reports that the connection ended, or that no valid response to
	// the request came, after at least a part of the request was sent. The
	// upstream may have run the request.
	ErrBroken = namespace.NewType("broken")
	// ErrConnectionLost is an ErrBroken: the upstream or the network ended the
	// connection, as after a crash of the upstream.
	ErrConnectionLost = ErrBroken.NewSubtype("connection_lost")
	// ErrSilent reports that nothing was received within the time limit. The
	// upstream may have run the request.
	ErrSilent = namespace.NewType("silent", errorx.Timeout())
)
