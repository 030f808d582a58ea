package quarantines

import (
	"encoding/json"
	"net/http"

	"github.com/poplarshore/poplarshore/quarantine"
)

const (
	// ListPath is the http.ServeMux pattern under which a VM lists the quarantines.
	ListPath = "GET /quarantine"
	// LiftPath is the pattern under which it lifts one. The query parameter "by" names the
	// operator.
	LiftPath = "DELETE /quarantine/{key}"
)

// Listing is the response to ListPath.
type Listing struct {
	Entries []quarantine.Entry `json:"entries"`
}

// ServeList responds with the quarantines known to this VM, as a Listing.
func (g *Guard) ServeList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(Listing{Entries: g.Entries()}); err != nil {
		g.opts.Log.Debug("list of quarantines not sent", "error", err)
	}
}

// ServeLift ends a quarantine on all VMs. It responds with status 204, or 404 if there is
// none.
func (g *Guard) ServeLift(w http.ResponseWriter, r *http.Request) {
	var key quarantine.Key
	if err := key.UnmarshalText([]byte(r.PathValue("key"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	by := r.URL.Query().Get("by")
	if by == "" {
		by = "operator"
	}
	if !g.Lift(key, by) {
		http.Error(w, "no such quarantine", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
