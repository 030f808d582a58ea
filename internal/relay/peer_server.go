package relay

import (
	"net/http"
	"net/netip"

	"github.com/poplarshore/poplarshore/refusal"
)

// maxRelayed is the number of other VMs' requests that this VM handles at the same time.
const maxRelayed = 256

// PeerHandler returns the handler of requests that other VMs ask this one to relay. They are
// handled like those of callers, and never relayed again.
func (s *Server) PeerHandler() http.Handler { return http.HandlerFunc(s.servePeer) }

// servePeer serves a request that another VM asks this one to relay. Anyone else is refused.
func (s *Server) servePeer(w http.ResponseWriter, r *http.Request) {
	sender, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || !s.IsPeer(sender.Addr().Unmap()) {
		s.Metrics.relayed.WithLabelValues("unknown_sender").Inc()
		s.Log.Warn("request to relay refused: its sender is no known VM", "sender", r.RemoteAddr)
		refuseAtDoor(w, http.StatusForbidden)
		return
	}
	hop, ok := takePeerRequest(r.Header)
	if !ok {
		s.Metrics.relayed.WithLabelValues("invalid").Inc()
		s.Log.Warn("request to relay refused: invalid header", "sender", r.RemoteAddr)
		refuseAtDoor(w, http.StatusBadRequest)
		return
	}
	s.serve(w, r, &hop)
}

// refuseAtDoor refuses a request that was not read any further.
func refuseAtDoor(w http.ResponseWriter, status int) {
	w.Header().Set(headerRefusal, refusedAtDoor)
	w.WriteHeader(status)
}

// admitRelayed returns why a request of another VM is refused at once, or nil. If it returns
// nil, releaseRelayed must be called.
func (x *exchange) admitRelayed() *refusal.Refusal {
	s := x.server
	if s.Draining() {
		return refusal.New(refusal.Draining)
	}
	if s.relayedInFlight.Add(1) > maxRelayed {
		s.relayedInFlight.Add(-1)
		return refusal.New(refusal.PeerBusy)
	}
	x.relayedAdmitted = true
	return nil
}

// releaseRelayed ends what admitRelayed began.
func (x *exchange) releaseRelayed() {
	if x.relayedAdmitted {
		x.server.relayedInFlight.Add(-1)
	}
}

// checkRelayed returns why this VM can't relay a request whose route is known, or nil: it is cut off, too.
func (x *exchange) checkRelayed() *refusal.Refusal {
	if x.server.Reach.Status(x.service).CutOff {
		return refusal.New(refusal.OutOfReach)
	}
	return nil
}
