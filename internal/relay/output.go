package relay

import (
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/egress"
	"github.com/poplarshore/poplarshore/refusal"
)

// accountWaitingDivisor is the part of what may wait for callers that may wait for those of one client account.
const accountWaitingDivisor = 4

// newEgress returns the tracker of what waits for callers.
func (s *Server) newEgress() *egress.Tracker {
	opts := egress.DefaultOptions()
	opts.WriteTimeout = s.opts.WriteTimeout
	if s.opts.MaxWaitingBytes > 0 {
		opts.MaxBytes, opts.MaxAccountBytes = s.opts.MaxWaitingBytes, s.opts.MaxWaitingBytes/accountWaitingDivisor
	}
	return egress.NewTracker(opts, s.Clock, func(err error) {
		s.Metrics.slowCallers.WithLabelValues(slownessOf(err)).Inc()
	})
}

// slownessOf returns the label, in metrics and refusals, of why a slow caller was ended.
func slownessOf(err error) string {
	for name, t := range map[string]*errorx.Type{
		"write_timeout": egress.ErrWriteTimeout, "upstream_held_up": egress.ErrHeldUp,
		"account_bytes": egress.ErrAccountBytes, "vm_bytes": egress.ErrVMBytes,
	} {
		if errorx.IsOfType(err, t) {
			return name
		}
	}
	return "other"
}

// destination writes to the connection of a caller.
type destination struct {
	http.ResponseWriter
	*http.ResponseController
}

// Flush implements egress.Destination.
func (d destination) Flush() error { return d.ResponseController.Flush() }

// beginOutput returns the Writer of the answer, and creates it the first time. The header must have
// been sent.
func (x *exchange) beginOutput() *egress.Writer {
	if x.output == nil {
		x.output = x.server.egress.Begin(x.account, destination{x.w, x.control}, x.cancel)
	}
	return x.output
}

// sendPart sends a part of an answer that still goes on. Errors: a CallerGone refusal.
func (x *exchange) sendPart(b []byte) error { return callerGone(x.beginOutput().Send(b)) }

// sendWhole sends the body of a complete answer. Errors: a CallerGone refusal.
func (x *exchange) sendWhole(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	w := x.beginOutput()
	if err := w.SendWhole(b); err != nil {
		return callerGone(err)
	}
	return callerGone(w.Close())
}

// closeOutput waits until the caller has taken what it was sent, and returns the result of the
// exchange: that the caller was ended, if it was, and err otherwise. What was ready when an
// exchange failed is delivered as well.
func (x *exchange) closeOutput(err error) error {
	if x.output == nil {
		return err
	}
	if sendErr := x.output.Close(); sendErr != nil {
		return callerGone(sendErr)
	}
	return err
}

// endOutput drops what has not been sent, after a panic.
func (x *exchange) endOutput() {
	if x.output != nil {
		x.output.End()
	}
}

// callerGone returns the refusal for an error of an egress.Writer, nil for none.
func callerGone(err error) error {
	if err == nil {
		return nil
	}
	refused := refusal.Wrap(refusal.CallerGone, err)
	if !errorx.IsOfType(err, egress.ErrGone) {
		refused = refused.With("Ended as it read too slowly: %s.", slownessOf(err))
	}
	return refused
}

// limitWrite sets the time within which a refusal must have been written.
func (x *exchange) limitWrite() { x.setWriteDeadline(time.Now().Add(x.server.opts.WriteTimeout)) }

// clearWriteDeadline removes the deadline that the request before left on the connection.
func (x *exchange) clearWriteDeadline() { x.setWriteDeadline(time.Time{}) }

func (x *exchange) setWriteDeadline(at time.Time) {
	if err := x.control.SetWriteDeadline(at); err != nil {
		x.server.Log.Debug("failed to set write deadline of caller", "request", x.request.ID, "error", err)
	}
}
