package slopes

import (
	"context"
	"fmt"

	"github.com/poplarshore/poplarshore/internal/membudget"
)

const (
	// holderBytes is what each holder of the measured budget keeps, and partBytes by how much one of them grows.
	holderBytes, partBytes = 64 << 10, 4 << 10
	// budgetBytes leaves each holder as much as it asks for.
	budgetBytes = 1 << 40
	// growRepeats and refuseRepeats are the repetitions of the operations.
	growRepeats, refuseRepeats = 200_000, 2_000
)

// memoryBudgets measures the budget of what a VM keeps for others, by the number of holders: a reservation that grows and is
// released, one that finds no room, and the budget's own heap.
func memoryBudgets() Probe {
	return Probe{Name: "membudget", SizeName: "holders", Sizes: []int{1, 100, 1000, 10000}, Measure: measureMemoryBudget}
}

func measureMemoryBudget(_ context.Context, size int, record Recorder) error {
	budget, err := filledBudget(size)
	if err != nil {
		return err
	}
	reservation := budget.Reserve(sampleHolders(0)...)
	growCost, err := cpuPerOperation(growRepeats, func(int) error {
		if err := reservation.Grow(partBytes); err != nil {
			return err
		}
		reservation.Release()
		return nil
	})
	if err != nil {
		return err
	}
	refuseCost, err := cpuPerOperation(refuseRepeats, func(int) error {
		_ = reservation.Grow(budgetBytes)
		return nil
	})
	if err != nil {
		return err
	}
	record("grow_cpu", Microseconds, growCost)
	record("refuse_cpu", Microseconds, refuseCost)
	record("heap", Bytes, heapSize(func() *membudget.Budget {
		budget, _ := filledBudget(size)
		return budget
	}))
	return nil
}

// filledBudget returns a budget of which the number of upstreams keep a part each.
func filledBudget(upstreams int) (*membudget.Budget, error) {
	budget := membudget.New(budgetBytes)
	for i := range upstreams {
		if err := budget.Reserve(sampleHolders(i)...).Grow(holderBytes); err != nil {
			return nil, err
		}
	}
	return budget, nil
}

// sampleHolders returns the holders of a response of an upstream.
func sampleHolders(i int) []membudget.Holder {
	return []membudget.Holder{
		{Kind: membudget.Upstream, ID: fmt.Sprintf("engine-%05d", i)}, {Kind: membudget.Service, ID: "service-1"},
	}
}
