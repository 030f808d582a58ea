// Package slopes measures what each control mechanism costs at several numbers
// of nodes or engines, so that the cost at a larger size can be worked out.
//
// A probe runs one mechanism's own code, with real HTTP on loopback where the
// mechanism speaks to others, and divides what the process spent by the number
// of operations. Both ends of a call run in this process, so a call's processor
// time contains the answering end.
package slopes

import (
	"context"
	"runtime"

	"github.com/poplarshore/poplarshore/measure/figure"
	"github.com/poplarshore/poplarshore/measure/meter"
)

// SetName names the file of these figures.
const SetName = "slopes"

// The units of the series.
const (
	Microseconds = "µs"
	Bytes        = "B"
	Count        = "1"
)

// Recorder takes one value of a series at the probe's size.
type Recorder func(series, unit string, value float64)

// Probe measures one mechanism.
type Probe struct {
	Name string
	// Of names the size, "nodes" or "engines".
	Of    string
	Sizes []int
	// Measure takes one measurement at a size.
	Measure func(ctx context.Context, size int, record Recorder) error
}

// Probes returns all probes.
func Probes() []Probe {
	return []Probe{documents(), revisionDigests(), smallDigests(), limitReports(), ledgers(), vmLists(), loadPulls(), storeCalls(), orderPlans()}
}

// Run takes repeats measurements of each probe at each size. The sizes
// alternate, so that a disturbance of the machine does not fall on one size.
func Run(ctx context.Context, probes []Probe, repeats int, into *figure.Set) error {
	for _, probe := range probes {
		for range repeats {
			if err := probe.sweep(ctx, into); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p Probe) sweep(ctx context.Context, into *figure.Set) error {
	for _, size := range p.Sizes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		record := func(series, unit string, value float64) {
			into.Get(p.Name+"."+series, unit, p.Of).Add(float64(size), value)
		}
		runtime.GC()
		if err := p.Measure(ctx, size, record); err != nil {
			return err
		}
	}
	return nil
}

// perOperation runs f count times and returns the processor time of one, in
// microseconds.
func perOperation(count int, f func(i int) error) (float64, error) {
	begun := meter.CPU()
	for i := range count {
		if err := f(i); err != nil {
			return 0, err
		}
	}
	return float64((meter.CPU() - begun).Microseconds()) / float64(count), nil
}

// heapOf returns the bytes of live heap that make's result holds.
func heapOf[T any](make func() T) float64 {
	before := meter.Heap()
	kept := make()
	after := meter.Heap()
	runtime.KeepAlive(kept)
	if after < before {
		return 0
	}
	return float64(after - before)
}
