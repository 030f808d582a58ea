package lease

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("lease")

var (
	// ErrHeld reports that the job is held, or that another contender acquired it
	// concurrently. Acquire may be repeated.
	ErrHeld = namespace.NewType("held", errorx.Temporary())
	// ErrExpired reports that the lease expired, was taken over by another holder
	// or was released. It is permanent for this Lease; the job has to be acquired
	// again.
	ErrExpired = namespace.NewType("expired")
	// ErrUnavailable reports that the store could not be reached or that the
	// outcome of a write could not be determined. After a failed Renew the lease
	// remains valid until it expires; the operation may be repeated.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrOptions reports invalid or inconsistent options, or an empty holder name.
	ErrOptions = namespace.NewType("options")
	// ErrMalformedRow reports a job row that cannot be decoded. It persists until
	// an operator repairs the row.
	ErrMalformedRow = namespace.NewType("row")
)
