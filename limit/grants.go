package limit

import (
	"math"
	"time"
)

// GrantSpan is the time for which a grant can be used.
const GrantSpan = 2 * time.Second

// Grants divides a rate that all VMs together may use, such as the limit that an upstream
// names, without messages between them: the VMs get grants for single requests in turn,
// at times on the clock that they share. A VM makes no more requests in any GrantSpan than
// it was granted in it, so that grants are not saved up by VMs with little traffic.
//
// It answers a load of many VMs with uneven traffic to an upstream that takes few
// requests: whatever the traffic, all VMs together stay within the rate over GrantSpan.
// A token bucket on each VM would allow one request for each VM at once.
type Grants struct {
	// PerSecond is the rate for all VMs together, in requests per second, over 0.
	PerSecond float64
	// VMs is the number of VMs, and Rank the position of this one among them, from 0.
	VMs, Rank int
}

// Within returns the number of requests granted in the GrantSpan that ends at now, on the
// shared clock.
func (g Grants) Within(now time.Duration) int {
	return int(g.turn(now) - g.turn(now-GrantSpan))
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
