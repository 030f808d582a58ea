package relay

import (
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/routing"
)

// homeRegions are the regions in which a request may be served, by the configuration last
// looked up.
type homeRegions struct {
	// table is the configuration in which the regions were looked up; nil before the first
	// time.
	table *routing.Table
	// ofRoute and ofAccount are the last known regions of the route and of the client account.
	ofRoute, ofAccount domain.RegionSet
}

// regions returns the regions in which the request may be served, by the configuration in
// force now: one that narrows them binds the next attempt of a request in progress. The
// regions of a route or an account that the configuration in force does not have any more stay
// as they were.
func (x *exchange) regions() domain.RegionSet {
	h := &x.homeRegions
	if h.table == nil {
		h.update(x.table, x)
	}
	if table := x.server.Tables.Table(); table != nil && table != h.table {
		h.update(table, x)
	}
	return h.ofRoute.Intersect(h.ofAccount)
}

// update looks up the regions in a configuration. A route or account that it lacks keeps its
// last known ones.
func (h *homeRegions) update(table *routing.Table, x *exchange) {
	h.table = table
	if r := table.Counterpart(x.route); r != nil {
		h.ofRoute = r.AllowedRegions
	}
	if x.account == "" {
		return
	}
	if a := table.AccountByID(x.account); a != nil {
		h.ofAccount = a.AllowedRegions
	}
}

// requiredConfig returns the version of the configuration that another VM must at least have
// to relay the request: that by which its regions were looked up if it is restricted, and that
// by which it was admitted otherwise.
func (x *exchange) requiredConfig() int64 {
	if x.regions().Restricted() {
		return x.homeRegions.table.Version()
	}
	return x.table.Version()
}

// refuseByRegion returns the refusal for a choice without an upstream if evacuations or the
// regions of the request ruled out any upstream, or nil.
func refuseByRegion(choice engines.Choice, regions domain.RegionSet) *refusal.Refusal {
	outside, evacuated := choice.Refused[route.OutsideRegions], choice.Refused[route.Evacuated]
	reason := refusal.NoUpstreamInRegion
	switch {
	case evacuated > 0:
		reason = refusal.UpstreamsEvacuated
	case outside == 0:
		return nil
	}
	return refusal.New(reason).With("Of %d upstreams %d are outside the regions %v of the request and %d are evacuated.",
		choice.Candidates, outside, regions, evacuated)
}
