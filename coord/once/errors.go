package once

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("once")

var (
	// ErrFingerprintMismatch reports that the key was already used for a request with a
	// different fingerprint. Repeating the call doesn't help.
	ErrFingerprintMismatch = namespace.NewType("fingerprint", errorx.Duplicate())
	// ErrUnavailable reports that the store could not be reached or that the
	// outcome of a write could not be determined. From Claim it means that this
	// attempt must not be sent; it says nothing about earlier attempts.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrResultTooLarge reports a result larger than Options.MaxResultBytes. The claim is
	// unchanged and may still be completed with a smaller result.
	ErrResultTooLarge = namespace.NewType("result_too_large")
	// ErrClaimLost reports that the claim's row was deleted or belongs to another
	// claim, for instance after its expiry. Nothing was written.
	ErrClaimLost = namespace.NewType("lost")
	// ErrClaimClosed reports that the claim was already completed or abandoned.
	ErrClaimClosed = namespace.NewType("closed")
	// ErrInvalidKey reports an account, idempotency key or fingerprint that is empty or
	// longer than 256 bytes.
	ErrInvalidKey = namespace.NewType("key")
	// ErrOptions reports invalid or inconsistent options.
	ErrOptions = namespace.NewType("options")
	// ErrMalformedRow reports a claim row that cannot be decoded. It persists until
	// an operator repairs or deletes the row.
	ErrMalformedRow = namespace.NewType("row")
)
