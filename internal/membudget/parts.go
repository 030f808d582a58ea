package membudget

import "runtime/debug"

const (
	// limitFraction is the fraction of a process's memory that is set as the runtime's soft memory limit. Near that
	// limit garbage collection runs more often.
	limitFraction = 0.6
	// keptFraction is the fraction for responses and request bodies, and waitingFraction that for answers that wait
	// for callers that read slowly.
	keptFraction    = 0.2
	waitingFraction = 0.1
	bytesPerMB      = 1 << 20
	// unlimitedKeptBytes is the part for responses and request bodies if there is no memory limit, and maxWaitingBytes the
	// most that waits for callers whatever the limit is.
	unlimitedKeptBytes = 64 << 20
	maxWaitingBytes    = 16 << 20
)

// Parts are the parts of a process's memory that are used for others, in bytes.
type Parts struct {
	// Kept bounds responses and request bodies, and Waiting the answers that wait for callers.
	Kept    int64
	Waiting int
}

// PartsOf returns the parts of a memory of the given size in MB; 0 means no limit.
func PartsOf(memoryMB int64) Parts {
	if memoryMB <= 0 {
		return Parts{Kept: unlimitedKeptBytes, Waiting: maxWaitingBytes}
	}
	memory := float64(memoryMB * bytesPerMB)
	return Parts{Kept: int64(memory * keptFraction), Waiting: min(int(memory*waitingFraction), maxWaitingBytes)}
}

// SetRuntimeLimit sets the runtime's soft memory limit for a process with a memory of the given size in MB; 0 means no limit.
func SetRuntimeLimit(memoryMB int64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(memoryMB*bytesPerMB) * limitFraction))
	}
}
