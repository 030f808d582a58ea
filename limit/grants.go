package limit

import (
	"math"
	"time"
)

// GrantSpan is the time for which a grant can be used, unless Grants.Span says otherwise.
const GrantSpan = 2 * time.Second

// Grants divides a rate that all VMs together may use, such as the limit that an upstream
// names, without messages between them: the VMs get grants for single requests in turn,
// at times on the clock that they share. A VM makes no more requests in any span than
// it was granted in it, so that grants are not saved up by VMs with little traffic.
//
// It answers a load of many VMs with uneven traffic to an upstream that takes few
// requests: whatever the traffic, all VMs together make at most
// PerSecond*(t+span)+1 requests in any time t. Every request can be matched with a grant of
// its own that is younger than the span, and the grants of all VMs are evenly spaced.
// A token bucket on each VM would allow one request for each VM at once.
type Grants struct {
	// PerSecond is the rate for all VMs together, in requests per second, over 0.
	PerSecond float64
	// VMs is the number of VMs, and Rank the position of this one among them, from 0.
	VMs, Rank int
	// Span is the time for which a grant can be used; zero means GrantSpan.
	Span time.Duration
}

// Within returns the number of requests granted in the span that ends at now, on the
// shared clock.
func (g Grants) Within(now time.Duration) int {
	span := g.Span
	if span == 0 {
		span = GrantSpan
	}
	return int(g.turn(now) - g.turn(now-span))
}

// Next returns the time until the next grant for any VM.
func (g Grants) Next(now time.Duration) time.Duration {
	position := now.Seconds() * g.PerSecond
	return time.Duration((math.Floor(position) + 1 - position) / g.PerSecond * float64(time.Second))
}

// turn returns the number of this VM's grants up to a time.
func (g Grants) turn(at time.Duration) float64 {
	vms := float64(max(g.VMs, 1))
	return math.Floor((at.Seconds()*g.PerSecond - float64(g.Rank)) / vms)
}
