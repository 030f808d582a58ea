package peer

import (
	"context"
	"net/http"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/vm"
)

const pathLedger = "/peer/v1/ledger"

// HandleLedger lets other VMs leave ledger segments with the holder.
func (s *Server) HandleLedger(holder ledger.Custodian) {
	s.Handle("POST "+pathLedger, func(w http.ResponseWriter, r *http.Request) {
		var segment ledger.Sealed
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

// Hold leaves a ledger segment with another VM and returns once that VM holds it.
func (c *Client) Hold(ctx context.Context, id vm.ID, segment ledger.Sealed) error {
	return c.call(ctx, id, pathLedger, segment, nil)
}
