package document_test

import (
	"math"
	"testing"
	"time"

	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/link"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/takeover"
)

// Guards against documents that another program stored unchecked: a duration that overflows
// is negative, so that each request of a contract has run out of time on arrival, or a quiet
// period is over before it begins.
func TestHugeDurationsDoNotOverflow(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for name, d := range map[string]time.Duration{
		"deadline":          contract.Contract{DeadlineMS: math.MaxInt64}.Deadline(),
		"dwell":             rollout.Step{DwellSeconds: math.MaxInt64}.Dwell(),
		"session":           document.Session{TTLSeconds: math.MaxInt64}.TTL(),
		"latency":           link.Link{LatencyMS: math.MaxFloat64}.Latency(),
		"quiet time":        takeover.Config{ChangedAt: now.Unix(), QuietSeconds: math.MaxInt64}.QuietTimeLeft(now),
		"quiet, both":       takeover.Config{ChangedAt: math.MaxInt64, QuietSeconds: math.MaxInt64}.QuietTimeLeft(now),
		"quiet, changed_at": takeover.Config{ChangedAt: math.MaxInt64, QuietSeconds: 1}.QuietTimeLeft(now),
	} {
		if d < time.Minute {
			t.Errorf("%s: %v", name, d)
		}
	}
}
