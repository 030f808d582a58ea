// Package takeover decides which traffic this system serves and which goes
// through to the older router, while both run side by side.
package takeover

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

// Rule takes a share of the traffic that it matches. Empty fields match all.
type Rule struct {
	Account account.ID    `json:"account,omitempty"`
	Model   model.Name    `json:"model,omitempty"`
	Service string        `json:"service,omitempty"`
	Region  domain.Region `json:"region,omitempty"`
	// Share is the part that this system takes, 0 to 1.
	Share float64 `json:"share"`
}

// Config is the takeover part of the configuration document.
type Config struct {
	// OldRouter is the upstream that gets what is not taken. Empty means
	// that this system takes everything.
	OldRouter upstream.ID `json:"old_router,omitempty"`
	// Rules are tried in order; the first that matches decides. Traffic that
	// no rule matches is not taken.
	Rules []Rule `json:"rules,omitempty"`
	// QuietSeconds is the time after ChangedAt during which this system
	// refuses the non-idempotent calls that it takes, because the older router
	// may still be running calls with the same keys that it got directly.
	QuietSeconds int64 `json:"quiet_seconds,omitempty"`
	// ChangedAt is when the rules last changed, in Unix seconds.
	ChangedAt int64 `json:"changed_at,omitempty"`
}

// Quiet returns the time left during which non-idempotent calls that are taken
// must be refused; zero or less means none.
func (c Config) Quiet(now time.Time) time.Duration {
	end := time.Unix(c.ChangedAt+c.QuietSeconds, 0)
	return end.Sub(now)
}

// Request is what a rule looks at.
type Request struct {
	Account account.ID
	Model   model.Name
	Service string
	Region  domain.Region
	// Key stays the same for one session or one idempotency key, so that
	// all of its requests land on one side.
	Key string
}

const hashRange = 1 << 53

// Taken tells whether this system serves the request. The share is stable:
// raising it moves keys in one direction only.
func (c Config) Taken(r Request) bool {
	if c.OldRouter == "" {
		return true
	}
	for _, rule := range c.Rules {
		if rule.matches(r) {
			return position(r) < rule.Share
		}
	}
	return false
}

func (r Rule) matches(req Request) bool {
	return (r.Account == "" || r.Account == req.Account) &&
		(r.Model == "" || r.Model == req.Model) &&
		(r.Service == "" || r.Service == req.Service) &&
		(r.Region == "" || r.Region == req.Region)
}

// position maps the request's account and key to [0, 1).
func position(r Request) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(r.Account))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(r.Key)
	return float64(h.Sum64()%hashRange) / hashRange
}
