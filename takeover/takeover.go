// Package takeover decides which requests this system serves and which it forwards to the
// older router while both run side by side.
package takeover

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

// Rule sets the share of the matching requests that this system serves. A request
// matches if it equals every field that is not empty.
type Rule struct {
	Account account.ID    `json:"account,omitempty"`
	Model   model.Name    `json:"model,omitempty"`
	Service string        `json:"service,omitempty"`
	Region  domain.Region `json:"region,omitempty"`
	// Share is the share of matching requests that this system serves, 0 to 1.
	// The others are forwarded to the older router.
	Share float64 `json:"share"`
}

const (
	// MaxQuietSeconds is the maximum of Config.QuietSeconds, 366 days. QuietTimeLeft treats
	// higher values as this one.
	MaxQuietSeconds = 366 * 24 * 60 * 60
	// MaxChangedAt is the maximum of Config.ChangedAt, the end of the year 9999 in Unix
	// seconds. QuietTimeLeft treats higher values as this one.
	MaxChangedAt = 253_402_300_799
)

// Config is the takeover section of the configuration document.
type Config struct {
	// OldRouter is the upstream to which requests are forwarded that this system
	// doesn't serve. Empty means that this system serves all requests.
	OldRouter upstream.ID `json:"old_router,omitempty"`
	// Rules are tried in order; the first that matches decides. Requests that no
	// rule matches are forwarded to the older router.
	Rules []Rule `json:"rules,omitempty"`
	// QuietSeconds is the length of the quiet period after ChangedAt, in seconds.
	// During it, non-idempotent calls that this system would serve must be
	// refused, because the older router may still be running calls with the same
	// idempotency keys that callers sent to it directly. Default 0.
	QuietSeconds int64 `json:"quiet_seconds,omitempty"`
	// ChangedAt is when the rules last changed, in Unix seconds.
	ChangedAt int64 `json:"changed_at,omitempty"`
}

// QuietTimeLeft returns the time left of the quiet period, during which the caller must refuse
// non-idempotent calls that this system serves. It is 0 or negative outside the period.
func (c Config) QuietTimeLeft(now time.Time) time.Duration {
	end := time.Unix(min(c.ChangedAt, MaxChangedAt)+min(c.QuietSeconds, MaxQuietSeconds), 0)
	return end.Sub(now)
}

// Request is the properties of a request that rules match.
type Request struct {
	Account account.ID
	Model   model.Name
	Service string
	Region  domain.Region
	// Key must be the same for all requests of a session or with the same
	// idempotency key, so that the same system serves all of them.
	Key string
}

// hashRange is the number of distinct hash fractions: float64 represents all integers
// up to 2^53 exactly.
const hashRange = 1 << 53

// Serves reports whether this system serves the request; otherwise the caller must forward
// it to the older router. The result depends only on the rules and the request, and a
// higher share of a rule only moves keys from the older router to this system.
func (c Config) Serves(r Request) bool {
	if c.OldRouter == "" {
		return true
	}
	for _, rule := range c.Rules {
		if rule.matches(r) {
			return hashFraction(r) < rule.Share
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

// hashFraction maps the request's account and key to a number in [0, 1).
func hashFraction(r Request) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(r.Account))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(r.Key)
	return float64(h.Sum64()%hashRange) / hashRange
}
