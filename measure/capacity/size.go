// Package capacity works out what each role of the system costs at a large
// size, from measured slopes, and writes the tables of docs/CAPACITY.md.
package capacity

const (
	secondsPerDay  = 86400
	secondsPerHour = 3600
	microsecond    = 1e-6
	kilobyte       = 1e3
	megabyte       = 1e6
	percent        = 100
)

// Size is the size that the system is worked out for.
type Size struct {
	Nodes             float64
	Engines           float64
	RequestsPerSecond float64
	TokensPerSecond   float64
	Versions          float64
	Regions           float64
	Domains           float64
	ChangesPerDay     float64
	FailuresPerDay    float64
	ReplacedPerDay    float64
	Accounts          float64
	// FirstToken and TokenGap are the waits for the first token and between
	// tokens, in seconds.
	FirstToken, TokenGap float64
}

// Full is the size that the system is built towards.
func Full() Size {
	return Size{
		Nodes: 2000, Engines: 10000, RequestsPerSecond: 42000, TokensPerSecond: 12e6, Versions: 26,
		Regions: 7, Domains: 18, ChangesPerDay: 11000, FailuresPerDay: 130, ReplacedPerDay: 1500, Accounts: 10, FirstToken: 0.47, TokenGap: 0.032,
	}
}

// OpenStreams returns the answers under way on one node, if each takes as long
// as the waits allow.
func (s Size) OpenStreams() float64 {
	seconds := s.FirstToken + s.TokensPerSecond/s.RequestsPerSecond*s.TokenGap
	return s.RequestsPerSecond / s.Nodes * seconds
}

// ChangesPerSecond returns the mean rate of accepted configurations.
func (s Size) ChangesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }

// Limits bound what control may cost.
type Limits struct {
	// CPU is the share of one core per node.
	CPU float64
	// Memory is in bytes per node.
	Memory float64
	// Bytes is sent and received per node and second.
	Bytes float64
	// StoreReads and StoreWrites are per second, all nodes together.
	StoreReads, StoreWrites float64
	// InForce is the time from accept to in force everywhere, in seconds.
	InForce float64
}

// FullLimits returns the limits at the full size. The store takes several
// hundred writes a second; three hundred are reckoned with.
func FullLimits() Limits {
	return Limits{CPU: 0.034, Memory: 256 * megabyte, Bytes: 23 * kilobyte, StoreReads: 2000, StoreWrites: 300, InForce: 6}
}

// Cost is what one mechanism costs.
type Cost struct {
	// CPU is the share of one core on each bearing node.
	CPU float64
	// Memory is in bytes on each bearing node.
	Memory float64
	// Bytes and Messages are sent and received per second on each bearing node.
	Bytes, Messages float64
	// StoreReads and StoreWrites are per second, all nodes together.
	StoreReads, StoreWrites float64
}

func (c Cost) plus(d Cost) Cost {
	return Cost{
		CPU: c.CPU + d.CPU, Memory: c.Memory + d.Memory, Bytes: c.Bytes + d.Bytes, Messages: c.Messages + d.Messages,
		StoreReads: c.StoreReads + d.StoreReads, StoreWrites: c.StoreWrites + d.StoreWrites,
	}
}
