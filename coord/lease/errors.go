package lease

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("lease")

var (
	// ErrHeld reports that another holder may still hold the job.
	ErrHeld = namespace.NewType("held", errorx.Temporary())
	// ErrExpired reports that the lease has run out, was lost or was released.
	// It is final for the lease: acquire the job anew.
	ErrExpired = namespace.NewType("expired")
	// ErrUnavailable reports that the store could not be reached or that the
	// outcome of a write could not be settled. A lease that was held before
	// stays held until it expires.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrOptions reports options that contradict each other.
	ErrOptions = namespace.NewType("options")
	// ErrRow reports a job row that cannot be decoded.
	ErrRow = namespace.NewType("row")
)
