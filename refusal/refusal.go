package refusal

import (
	"errors"
	"fmt"
	"time"
)

// Refusal is the error of a refused request or an aborted answer.
type Refusal struct {
	Spec
	// Detail is appended to Help in the message to the caller; may be empty.
	Detail string
	// Cause is the error that led to the refusal; may be nil. It is not sent to
	// callers.
	Cause error
}

// New returns a Refusal for the reason.
func New(reason Reason) *Refusal {
	return &Refusal{Spec: specByReason[reason]}
}

// Known reports whether there is such a reason.
func Known(reason Reason) bool {
	_, known := specByReason[reason]
	return known
}

// Wrap returns a Refusal for the reason that wraps the cause.
func Wrap(reason Reason, cause error) *Refusal {
	return &Refusal{Spec: specByReason[reason], Cause: cause}
}

// With sets the detail, formatted as by fmt.Sprintf, and returns r.
func (r *Refusal) With(format string, args ...any) *Refusal {
	r.Detail = fmt.Sprintf(format, args...)
	return r
}

// WithRetryAfter sets the value of the Retry-After header and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithRan overrides whether the request may have run and returns r.
func (r *Refusal) WithRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

// Message returns the message to the caller: the help text and the detail.
func (r *Refusal) Message() string {
	if r.Detail == "" {
		return r.Help
	}
	return r.Help + " " + r.Detail
}

// Error implements error. The text includes the cause, which callers must not
// see.
func (r *Refusal) Error() string {
	if r.Cause == nil {
		return fmt.Sprintf("%s: %s", r.Reason, r.Message())
	}
	return fmt.Sprintf("%s: %s: %v", r.Reason, r.Message(), r.Cause)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error {
	return r.Cause
}

// FromError returns the Refusal in err's chain, or an InternalFault that wraps err.
func FromError(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Wrap(InternalFault, err)
}
