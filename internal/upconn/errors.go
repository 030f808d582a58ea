package upconn

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("upconn")

var (
	// ErrNotSent reports that no byte of the request left this VM.
	ErrNotSent = namespace.NewType("not_sent")
	// ErrBroken reports a connection that ended or carried no HTTP after the
	// request was sent, at least in part. The upstream may have run it.
	ErrBroken = namespace.NewType("broken")
	// ErrSilent reports that nothing came for longer than the limit. The
	// upstream may have run the request.
	ErrSilent = namespace.NewType("silent", errorx.Timeout())
)
