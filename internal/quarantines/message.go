package quarantines

import (
	"time"

	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/upstream"
)

// Message is what a VM tells other VMs.
type Message struct {
	Crashes []quarantine.Crash `json:"crashes,omitempty"`
	Sound   []Sound            `json:"sound,omitempty"`
	Alive   []Alive            `json:"alive,omitempty"`
	Entries []quarantine.Entry `json:"entries,omitempty"`
	// ForAll asks the receiver to pass the message on to all VMs.
	ForAll bool `json:"for_all,omitzero"`
}

// Sound tells that a request with the key was answered while its upstream was alive.
type Sound struct {
	Key quarantine.Key `json:"key"`
	// At is the time on the clock that all VMs share.
	At time.Duration `json:"at"`
}

// Alive tells that something came from an upstream after its reported end.
type Alive struct {
	quarantine.Incarnation
	// At is the time on the clock that all VMs share.
	At time.Duration `json:"at"`
}

// Upstream returns the upstream that a message is about; empty if it is about none.
func (m Message) Upstream() upstream.ID {
	if len(m.Crashes) == 0 {
		return ""
	}
	return m.Crashes[0].Upstream
}
