package once

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("once")

var (
	// ErrFingerprint reports that the key was used before for another request.
	ErrFingerprint = namespace.NewType("fingerprint", errorx.Duplicate())
	// ErrUnavailable reports that the store could not be reached or that the
	// outcome of a write could not be settled. From Claim it means that this
	// attempt was not run; nothing is known of earlier attempts.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrResultTooLarge reports a result over the limit. The claim stays as it was.
	ErrResultTooLarge = namespace.NewType("result_too_large")
	// ErrLost reports that the row is no longer of this claim, as after its expiry.
	ErrLost = namespace.NewType("lost")
	// ErrClosed reports a claim that was completed or abandoned before.
	ErrClosed = namespace.NewType("closed")
	// ErrKey reports an empty or oversize account, key or fingerprint.
	ErrKey = namespace.NewType("key")
	// ErrOptions reports options that contradict each other.
	ErrOptions = namespace.NewType("options")
	// ErrRow reports a claim row that cannot be decoded.
	ErrRow = namespace.NewType("row")
)
