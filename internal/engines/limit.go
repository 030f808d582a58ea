package engines

import (
	"math"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/limit"
)

// announcedLimitChange is the relative change of a limit from which other VMs are
// informed of it.
const announcedLimitChange = 0.1

// SetRequestLimit records the number of requests per second that the upstream, by its
// answer to a request sent at the given time, takes from all VMs together; zero for no
// limit. An answer without a limit ends one only if its request was sent after the limit was
// last named: answers on different connections may overtake each other.
func (e *Engine) SetRequestLimit(perSecond float64, sentAt time.Time) {
	if e.limitNamedAfter(perSecond, sentAt) {
		return
	}
	if e.setRequestLimit(perSecond) && e.directory.opts.OnLimit != nil {
		e.directory.opts.OnLimit(e.Upstream(), perSecond)
	}
}

// limitNamedAfter records when a limit is named, and reports whether an answer without one
// is older than that.
func (e *Engine) limitNamedAfter(perSecond float64, sentAt time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if perSecond > 0 {
		e.limitNamedAt = e.directory.clock.Now()
		return false
	}
	return sentAt.Before(e.limitNamedAt)
}

// setRequestLimit sets the limit, and reports whether it changed by much.
func (e *Engine) setRequestLimit(perSecond float64) bool {
	e.mu.Lock()
	previous := e.requestLimit
	e.requestLimit = perSecond
	if perSecond == 0 {
		e.limitedSends = nil
	}
	e.mu.Unlock()
	if math.Abs(perSecond-previous) <= announcedLimitChange*previous {
		return false
	}
	switch {
	case perSecond == 0:
		e.directory.log.Info("upstream names no limit any more", "upstream", e.ID())
	default:
		e.directory.selfReports.WithLabelValues("limited").Inc()
		e.directory.log.Info("upstream names a limit", "upstream", e.ID(), "per_second", perSecond)
	}
	return true
}

// grants returns how the upstream's limit is divided among the VMs, and the time on the
// shared clock. The caller holds mu, as for the following methods.
func (e *Engine) grants(now time.Time) (limit.Grants, time.Duration) {
	rank, vms := e.directory.opts.Rank()
	return limit.Grants{PerSecond: e.requestLimit, VMs: vms, Rank: rank}, e.directory.sharedTime(now)
}

// hasGrant reports whether the upstream's limit allows this VM a request.
func (e *Engine) hasGrant(now time.Time) bool {
	if e.requestLimit == 0 {
		return true
	}
	e.limitedSends = slices.DeleteFunc(e.limitedSends, func(at time.Time) bool { return now.Sub(at) >= limit.GrantSpan })
	grants, sharedNow := e.grants(now)
	return len(e.limitedSends) < grants.Within(sharedNow)
}

// takeGrant uses a grant, if there is one.
func (e *Engine) takeGrant(now time.Time) bool {
	if !e.hasGrant(now) {
		return false
	}
	if e.requestLimit > 0 {
		e.limitedSends = append(e.limitedSends, now)
	}
	return true
}

// limitLeft returns the time until the upstream's limit allows some VM a request, zero if
// it sets no limit or allows this one now.
func (e *Engine) limitLeft(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hasGrant(now) {
		return 0
	}
	grants, sharedNow := e.grants(now)
	return grants.Next(sharedNow)
}
