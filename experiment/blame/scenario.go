package blame

import "time"

// Rule is what protects the upstreams.
type Rule string

// The rules. The first two are baselines.
const (
	// None protects nothing.
	None Rule = "none"
	// Alone lets each VM decide on what it saw itself.
	Alone Rule = "each VM alone"
	// Shared is the quarantine of package quarantines.
	Shared Rule = "shared"
)

// Scenario is a load with what is wrong in it.
type Scenario struct {
	Name string
	VMs  int
	// Engines is the number of upstreams, and Rate the number of sound requests per second.
	Engines int
	Rate    float64
	// Plain reports whether requests have no prompt, so that it can't be seen when they begin
	// to run.
	Plain bool
	// Parts and Requests are the numbers of parts of prompts and of whole requests that crash
	// upstreams, and CulpritRate the rate of the requests of each, per second.
	Parts, Requests int
	CulpritRate     float64
	// MassEnds lists when half of the upstreams end at once, and EndInterval the time between
	// single ends for other reasons; zero for none.
	MassEnds    []time.Duration
	EndInterval time.Duration
	// ResetShare is the fraction of answers that are lost with their connection while the
	// upstream goes on, 0 to 1.
	ResetShare float64
	// Loss is the fraction of messages that are lost, 0 to 1.
	Loss float64
	// ReplaceInterval is the time between replacements of a VM, and CutInterval the time
	// between cuts, in which a VM gets no messages; zero for none.
	ReplaceInterval, CutInterval time.Duration
}

// few is a site of six VMs.
var few = Scenario{VMs: 6, Engines: 12, Rate: 55, CulpritRate: 2.5, Loss: 0.02}

func (s Scenario) named(name string, change func(*Scenario)) Scenario {
	s.Name = name
	change(&s)
	return s
}

// Scenarios are the loads that are simulated.
var Scenarios = []Scenario{
	few.named("no culprit, half of the engines end twice, others one by one", func(s *Scenario) {
		s.MassEnds, s.EndInterval = []time.Duration{15 * time.Second, 30 * time.Second}, 1500*time.Millisecond
	}),
	few.named("no culprit, 3 plain engines, one ends every 4 s", func(s *Scenario) {
		s.Plain, s.Engines, s.Rate, s.EndInterval = true, 3, 20, 4*time.Second
	}),
	few.named("no culprit, 3 plain engines, 30% of answers lost", func(s *Scenario) {
		s.Plain, s.Engines, s.Rate, s.ResetShare = true, 3, 20, 0.3
	}),
	few.named("no culprit, 30% of answers lost", func(s *Scenario) { s.ResetShare = 0.3 }),
	few.named("1 part", func(s *Scenario) { s.Parts = 1 }),
	few.named("1 part, beside other ends", func(s *Scenario) {
		s.Parts, s.MassEnds, s.EndInterval = 1, []time.Duration{15 * time.Second, 30 * time.Second}, 3*time.Second
	}),
	few.named("1 request, streams", func(s *Scenario) { s.Requests = 1 }),
	few.named("1 request, 3 plain engines", func(s *Scenario) { s.Requests, s.Plain, s.Engines, s.Rate = 1, true, 3, 20 }),
	few.named("3 parts and 3 requests", func(s *Scenario) { s.Parts, s.Requests, s.CulpritRate = 3, 3, 1 }),
	few.named("1 part, 30% of messages lost, VMs replaced and cut off", func(s *Scenario) {
		s.Parts, s.Loss, s.ReplaceInterval, s.CutInterval = 1, 0.3, 5*time.Second, 8*time.Second
	}),
	few.named("1 VM, 1 part", func(s *Scenario) { s.VMs, s.Parts = 1, 1 }),
	few.named("300 VMs, 1 part and 1 request", func(s *Scenario) {
		s.VMs, s.Engines, s.Rate, s.Parts, s.Requests = 300, 60, 300, 1, 1
	}),
}
