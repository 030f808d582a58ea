// Package slopes measures the cost of each control mechanism at several sizes,
// such as numbers of nodes or engines, so that the cost at a larger size can be
// extrapolated.
//
// A probe runs the mechanism's production code, with real HTTP on loopback where
// the mechanism makes calls, and divides the CPU time of the process by the
// number of operations. Client and server of a call run in this process, so the
// CPU time of a call includes the server's.
package slopes

import (
	"context"
	"runtime"

	"github.com/poplarshore/poplarshore/measure/figure"
	"github.com/poplarshore/poplarshore/measure/meter"
)

// SetName is the name of the set of figures, and of its file without extension.
const SetName = "slopes"

// Units of series.
const (
	Microseconds = "µs"
	Bytes        = "B"
	Count        = "1"
)

// Recorder records one value of a series at the size that is being measured.
type Recorder func(series, unit string, value float64)

// Probe measures one mechanism.
type Probe struct {
	// Name is the first part of the names of the probe's series.
	Name string
	// SizeName is the quantity that Sizes count, such as "nodes" or "engines".
	SizeName string
	Sizes    []int
	// Measure makes one measurement at a size.
	Measure func(ctx context.Context, size int, record Recorder) error
}

// Probes returns all probes.
func Probes() []Probe {
	return []Probe{documents(), revisionDigests(), smallDigests(), limitReports(), ledgers(), vmLists(), loadPulls(), storeCalls(), orderPlans(), memoryBudgets()}
}

// Run makes repeats measurements of each probe at each size and adds them to the
// set. It alternates between the sizes, so that other load on the machine doesn't
// affect one size only.
func Run(ctx context.Context, probes []Probe, repeats int, set *figure.Set) error {
	for _, probe := range probes {
		for range repeats {
			if err := probe.measureSizes(ctx, set); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureSizes makes one measurement at each size.
func (p Probe) measureSizes(ctx context.Context, set *figure.Set) error {
	for _, size := range p.Sizes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		record := func(series, unit string, value float64) {
			set.GetOrAdd(p.Name+"."+series, unit, p.SizeName).Add(float64(size), value)
		}
		runtime.GC()
		if err := p.Measure(ctx, size, record); err != nil {
			return err
		}
	}
	return nil
}

// cpuPerOperation runs f count times and returns the mean CPU time of one run, in
// microseconds.
func cpuPerOperation(count int, f func(i int) error) (float64, error) {
	startCPU := meter.CPU()
	for i := range count {
		if err := f(i); err != nil {
			return 0, err
		}
	}
	return float64((meter.CPU() - startCPU).Microseconds()) / float64(count), nil
}

// heapSize returns the number of bytes of live heap that the result of build
// occupies.
func heapSize[T any](build func() T) float64 {
	before := meter.Heap()
	value := build()
	after := meter.Heap()
	runtime.KeepAlive(value)
	if after < before {
		return 0
	}
	return float64(after - before)
}
