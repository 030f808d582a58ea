package fragile

import "time"

// Rule is how VMs decide whether an upstream has a place.
type Rule string

// The rules that are compared.
const (
	// Unbounded sends requests wherever the fewest are known to be.
	Unbounded Rule = "none"
	// Reported sends them only where the last report leaves room.
	Reported Rule = "reported room"
	// Divided divides the places among the VMs by limit.Places.
	Divided Rule = "divided places"
)

// Rules are the rules that are compared.
var Rules = []Rule{Unbounded, Reported, Divided}

// Scenario is a load and a fleet.
type Scenario struct {
	Name string
	// VMs, Upstreams and Capacity are the numbers of VMs, of upstreams, and of places on each;
	// Tolerated is how many rejections in a second an upstream bears.
	VMs, Upstreams, Capacity, Tolerated int
	// Load is the usual number of requests in progress as a share of all places, and Burst its
	// factor for burstTime.
	Load, Burst float64
	// Hot is the share of requests that prefer the first upstream.
	Hot float64
	// Service is the mean time that a request takes.
	Service time.Duration
	// HintLoss is the share of hints that are lost.
	HintLoss float64
	// Returns lets an upstream end in the burst, whatever it rejected.
	Returns bool
}

// Scenarios are the simulated scenarios.
var Scenarios = []Scenario{
	{Name: "1 VM, burst of 2", VMs: 1, Upstreams: 12, Capacity: 64, Tolerated: 1, Load: 0.5, Burst: 2, Service: time.Second},
	{Name: "6 VMs, calm", VMs: 6, Upstreams: 12, Capacity: 64, Tolerated: 1, Load: 0.3, Burst: 1, Service: time.Second},
	{Name: "6 VMs, burst of 2", VMs: 6, Upstreams: 12, Capacity: 64, Tolerated: 1, Load: 0.5, Burst: 2, Service: time.Second},
	{Name: "6 VMs, burst of 3, N 5", VMs: 6, Upstreams: 12, Capacity: 64, Tolerated: 5, Load: 0.5, Burst: 3, Service: time.Second},
	{Name: "6 VMs, burst of 3, N 50", VMs: 6, Upstreams: 12, Capacity: 64, Tolerated: 50, Load: 0.5, Burst: 3, Service: time.Second},
	{Name: "6 VMs, 3 plain upstreams, burst of 3", VMs: 6, Upstreams: 3, Capacity: 6, Tolerated: 1, Load: 0.25, Burst: 3, Service: 30 * time.Millisecond},
	{Name: "6 VMs, hot prefix", VMs: 6, Upstreams: 12, Capacity: 64, Tolerated: 1, Load: 0.4, Burst: 1.5, Hot: 0.4, Service: time.Second},
	{Name: "6 VMs, upstream returns, hints lost", VMs: 6, Upstreams: 12, Capacity: 64, Tolerated: 1, Load: 0.6, Burst: 1.5, Service: time.Second, HintLoss: 0.5, Returns: true},
	{Name: "60 VMs, burst of 2", VMs: 60, Upstreams: 40, Capacity: 64, Tolerated: 1, Load: 0.5, Burst: 2, Service: time.Second},
	{Name: "82 VMs, 24 plain upstreams, burst of 3", VMs: 82, Upstreams: 24, Capacity: 6, Tolerated: 1, Load: 0.25, Burst: 3, Service: 30 * time.Millisecond},
	{Name: "300 VMs, burst of 2", VMs: 300, Upstreams: 240, Capacity: 64, Tolerated: 1, Load: 0.5, Burst: 2, Service: time.Second},
}
