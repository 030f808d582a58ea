package deadline

import "time"

// Service describes a service and its replaced version.
type Service struct {
	Name string
	// Rate is the number of requests per second.
	Rate float64
	// ErrorRate and SlowRate are the fractions of failed and slow answers, 0 to 1.
	ErrorRate, SlowRate float64
	// JudgedAfter is the time from a request to the judgement of an answer of usual speed.
	JudgedAfter time.Duration
	// JudgedFraction is the fraction of answers whose speed is judged, 0 to 1.
	JudgedFraction float64
	// Duration is the time of the order.
	Duration time.Duration
}

// Services are the services that are simulated: a plain one with few requests, of which
// many fail, and a model service.
var Services = []Service{
	{"plain, 21/s, 16 s", 21, 0.10, 0.10, 40 * time.Millisecond, 1, 16 * time.Second},
	{"plain, 21/s, 12 s", 21, 0.10, 0.10, 40 * time.Millisecond, 1, 12 * time.Second},
	{"plain, 6/s, 24 s", 6, 0.05, 0.10, 40 * time.Millisecond, 1, 24 * time.Second},
	{"model, 55/s, 16 s", 55, 0, 0.10, 500 * time.Millisecond, 0.45, 16 * time.Second},
	{"model, 55/s, 12 s", 55, 0, 0.10, 500 * time.Millisecond, 0.45, 12 * time.Second},
}

// Fault is what is wrong with the new version.
type Fault struct {
	Name string
	// ErrorRate and SlowRate are added to the rates of the replaced version.
	ErrorRate, SlowRate float64
	// Slowdown is the factor by which slow answers are known later.
	Slowdown float64
	// AtFullShare reports whether the fault appears only after the last step.
	AtFullShare bool
}

// Good is a new version as good as the replaced one.
var Good = Fault{Name: "none", Slowdown: 1}

// Faults are the faults that are simulated.
var Faults = []Fault{
	Good,
	{Name: "half fail", ErrorRate: 0.5, Slowdown: 1},
	{Name: "0.3 fail", ErrorRate: 0.3, Slowdown: 1},
	{Name: "0.2 fail", ErrorRate: 0.2, Slowdown: 1},
	{Name: "half slow", SlowRate: 0.5, Slowdown: 5},
	{Name: "0.3 slow", SlowRate: 0.3, Slowdown: 5},
	{Name: "half fail at full share", ErrorRate: 0.5, Slowdown: 1, AtFullShare: true},
}
