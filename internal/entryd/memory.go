package entryd

import (
	"runtime/debug"

	"github.com/poplarshore/poplarshore/internal/membudget"
)

const (
	// memoryLimitFraction is the fraction of settings.Entry.MemoryMB that is set as the runtime's soft memory limit. Near
	// that limit garbage collection runs more often.
	memoryLimitFraction = 0.6
	// keptFraction is the fraction of settings.Entry.MemoryMB that may keep bodies and parts of responses.
	keptFraction = 0.25
	// unlimitedKeptBytes may keep them if the settings have no memory limit.
	unlimitedKeptBytes = 256 << 20

	bytesPerMB = 1 << 20
)

// setMemoryLimit sets the soft memory limit of the process for a memory of the given size in MB; 0 means no limit.
func setMemoryLimit(memoryMB int64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(memoryMB*bytesPerMB) * memoryLimitFraction))
	}
}

// newMemoryBudget returns the budget of what a VM with a memory of the given size in MB keeps for others; 0 means no limit.
func newMemoryBudget(memoryMB int64) *membudget.Budget {
	if memoryMB == 0 {
		return membudget.New(unlimitedKeptBytes)
	}
	return membudget.New(int64(float64(memoryMB*bytesPerMB) * keptFraction))
}
