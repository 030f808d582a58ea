package gatewayd

import "github.com/poplarshore/poplarshore/settings"

const (
	// memoryLimitFraction is the fraction of settings.Gateway.MemoryMB that is set
	// as the runtime's soft memory limit. Near that limit garbage collection runs
	// more often.
	memoryLimitFraction = 0.6
	// keptFraction is the fraction for responses and request bodies, and waitingFraction that for answers that wait
	// for callers that read slowly.
	keptFraction    = 0.2
	waitingFraction = 0.1
	bytesPerMB      = 1 << 20
	// defaultKeptBytes is the part for responses and request bodies if there is no memory limit, and maxWaitingBytes the
	// most that waits for callers whatever the limit is.
	defaultKeptBytes = 64 << 20
	maxWaitingBytes  = 16 << 20
)

// memoryParts are the parts of a VM's memory that are used for others, in bytes.
type memoryParts struct {
	// kept bounds responses and request bodies, and waiting the answers that wait for callers.
	kept    int64
	waiting int
}

// partsOf returns the parts for the settings.
func partsOf(s *settings.Gateway) memoryParts {
	if s.MemoryMB <= 0 {
		return memoryParts{kept: defaultKeptBytes, waiting: maxWaitingBytes}
	}
	memory := float64(s.MemoryMB * bytesPerMB)
	return memoryParts{kept: int64(memory * keptFraction), waiting: min(int(memory*waitingFraction), maxWaitingBytes)}
}
