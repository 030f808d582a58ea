package peer

import (
	"context"
	"net/http"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/vm"
)

const pathLedger = "/peer/v1/ledger"

// HandleLedger accepts ledger segments from other VMs and passes them to the holder,
// which stores the copies. Call it before the server serves.
func (s *Server) HandleLedger(holder ledger.SegmentHolder) {
	s.Handle("POST "+pathLedger, func(w http.ResponseWriter, r *http.Request) {
		var segment ledger.SealedSegment
		if !ReadJSON(w, r, &segment) {
			return
		}
		if err := holder.Hold(r.Context(), segment); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// Hold sends a copy of a ledger segment to another VM and returns once that VM has
// accepted it. Errors: ErrUnreachable, ErrRefused, ErrMalformed, ErrUnknown.
func (c *Client) Hold(ctx context.Context, id vm.ID, segment ledger.SealedSegment) error {
	return c.call(ctx, id, pathLedger, segment, nil)
}
