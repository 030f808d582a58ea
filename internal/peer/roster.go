package peer

import (
	"context"
	"net/http"

	"github.com/poplarshore/poplarshore/coord/roster"
	"github.com/poplarshore/poplarshore/vm"
)

const pathRoster = "/peer/v1/roster"

// HandleRoster answers the gossip of other VMs about upstreams. Call it before the
// server serves.
func (s *Server) HandleRoster(gossip *roster.Gossip) {
	s.Handle("POST "+pathRoster, func(w http.ResponseWriter, r *http.Request) {
		var d roster.Digest
		if !ReadJSON(w, r, &d) {
			return
		}
		response, err := gossip.HandleExchange(d)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		WriteJSON(w, response)
	})
}

// RosterDirectory implements roster.Directory with the other VMs in the client's
// book.
type RosterDirectory struct {
	// Client sends the digests.
	Client *Client
}

// Peers implements roster.Directory.
func (d RosterDirectory) Peers() []roster.Peer {
	others := d.Client.Book.Others()
	peers := make([]roster.Peer, len(others))
	for i, id := range others {
		peers[i] = rosterPeer{client: d.Client, id: vm.ID(id)}
	}
	return peers
}

// rosterPeer implements roster.Peer for one other entry VM.
type rosterPeer struct {
	client *Client
	id     vm.ID
}

// Exchange implements roster.Peer.
func (p rosterPeer) Exchange(ctx context.Context, d roster.Digest) (roster.Digest, error) {
	var response roster.Digest
	err := p.client.call(ctx, p.id, pathRoster, d, &response)
	return response, err
}
