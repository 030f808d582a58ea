package relay

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/routing"
)

// ConfigSource tells what is known of the configuration in force. Implementations must be safe for concurrent use.
type ConfigSource interface {
	// Age returns the time since the store confirmed that it is the newest one, and false while that is unknown.
	Age() (time.Duration, bool)
	// Confirming reports whether a confirmation may come soon: the last attempt to get one has not just failed.
	Confirming() bool
}

// configAge is the time since the store confirmed that a configuration is the newest one, if that is known.
type configAge struct {
	age   time.Duration
	known bool
}

// confirmWait is how long a request that would be refused by a configuration which may be outdated waits for its
// confirmation, but at most the caller's deadline divided by startupWaitDivisor.
const confirmWait = 250 * time.Millisecond

// applyConfig finds the route and the client account of the request. A newer configuration may have a route or a key that
// this VM does not know yet, so that a request is refused for want of them only by a configuration that is confirmed.
func (x *exchange) applyConfig(ctx context.Context) *refusal.Refusal {
	limit := confirmWait
	if x.request.Deadline > 0 {
		limit = min(limit, x.request.Deadline/startupWaitDivisor)
	}
	beganAt := x.server.Clock.Now()
	for {
		refused := x.matchConfig()
		if refused == nil || !isByConfig(refused.Reason) || x.configConfirmed() {
			return refused
		}
		if !x.server.Config.Confirming() || x.server.Clock.Since(beganAt) >= limit {
			return refusal.New(refusal.ConfigurationStale).With("The copy of the configuration is outdated, which has no other answer than %s.", refused.Reason)
		}
		if gone := x.awaitConfig(ctx); gone != nil {
			return gone
		}
	}
}

// isByConfig reports whether a newer configuration may serve a request that is refused for the reason.
func isByConfig(reason refusal.Reason) bool {
	return reason == refusal.PathUnknown || reason == refusal.Unauthorized
}

// configConfirmed reports whether the configuration by which the request was matched was confirmed lately enough.
func (x *exchange) configConfirmed() bool {
	limit := x.server.opts.MaxConfigAge
	return limit == 0 || x.configAge.known && x.configAge.age <= limit
}

// matchConfig finds the route and the client account by the configuration in force.
func (x *exchange) matchConfig() *refusal.Refusal {
	x.configAge.age, x.configAge.known = x.server.Config.Age()
	if x.hop != nil && x.isBehind() {
		return refusal.New(refusal.PeerBehind)
	}
	if x.table = x.admittingTable(); x.table == nil {
		return refusal.New(refusal.ConfigurationStale)
	}
	if x.route = x.table.Match(x.request.Host, x.request.Path); x.route == nil {
		return refusal.New(refusal.PathUnknown)
	}
	x.priority = x.route.Priority
	return x.authenticate()
}

// admittingTable returns the configuration by which the request is handled: the one in force, or for a
// request of another VM the one that was in force when it began there. It is nil before the first one.
func (x *exchange) admittingTable() *routing.Table {
	tables := x.server.Tables
	if x.hop == nil || !x.hop.keepsConfig {
		return tables.Table()
	}
	return tables.TableAt(x.startedAt.Add(-x.hop.age), x.hop.admittedBy)
}

// isBehind reports whether this VM has an older configuration than the VM that asks it to relay the request.
func (x *exchange) isBehind() bool {
	table := x.server.Tables.Table()
	return table != nil && table.Version() < x.hop.config
}

// authenticate finds the client account of the caller's key. Public routes, and
// configurations without keys, need none.
func (x *exchange) authenticate() *refusal.Refusal {
	if !x.table.KeysRequired() || x.route.Public {
		return nil
	}
	a := x.table.Account(x.request.Key)
	if a == nil {
		return refusal.New(refusal.Unauthorized)
	}
	x.account = a.ID
	if a.HasPriority {
		x.priority = a.Priority
	}
	return nil
}
