package refusal

import (
	"errors"
	"fmt"
	"time"
)

// Refusal is the typed error of a refused request.
type Refusal struct {
	Spec
	// Detail adds to the spec's help for this one request; may be empty.
	Detail string
	// Cause is the error that led to the refusal; may be nil. It is not
	// shown to callers.
	Cause error
}

// New returns a refusal for the reason.
func New(reason Reason) *Refusal {
	return &Refusal{Spec: byReason[reason]}
}

// Because returns a refusal for the reason with its cause.
func Because(reason Reason, cause error) *Refusal {
	return &Refusal{Spec: byReason[reason], Cause: cause}
}

// With sets the detail.
func (r *Refusal) With(format string, args ...any) *Refusal {
	r.Detail = fmt.Sprintf(format, args...)
	return r
}

// After sets when to come back.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithRan overrides whether the request may have run.
func (r *Refusal) WithRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

// Message returns the text for callers.
func (r *Refusal) Message() string {
	if r.Detail == "" {
		return r.Help
	}
	return r.Help + " " + r.Detail
}

// Error implements error.
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

// Of returns the refusal in err's chain, or an InternalFault that wraps err.
func Of(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Because(InternalFault, err)
}
