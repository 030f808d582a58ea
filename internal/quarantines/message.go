package quarantines

import (
	"slices"
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
	// ForAll asks the receiver to pass the message on to all VMs. It is sent to VMs of builds
	// that don't know Spread, and received from them.
	ForAll bool `json:"for_all,omitzero"`
	// Spread asks the receiver to pass the message on to a part of the VMs.
	Spread Spread `json:"spread,omitzero"`
	// Topic is the upstream by which the VMs that pass the message on are chosen. It is not
	// sent.
	Topic upstream.ID `json:"-"`
	// Turn changes the VMs that pass on messages with the same topic. It is not sent.
	Turn int64 `json:"-"`
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

// maxClockSkew is how far the clocks of two VMs may be apart.
const maxClockSkew = time.Minute

// within returns the parts of a message that another VM can have sent at about the time now: what lies in
// the future would be remembered for good.
func (m Message) within(now time.Duration) Message {
	isOdd := func(at time.Duration) bool { return !quarantine.IsTime(at) || at > now+maxClockSkew }
	m.Crashes = slices.DeleteFunc(slices.Clone(m.Crashes), func(c quarantine.Crash) bool { return isOdd(c.At) })
	m.Sound = slices.DeleteFunc(slices.Clone(m.Sound), func(s Sound) bool { return isOdd(s.At) })
	m.Alive = slices.DeleteFunc(slices.Clone(m.Alive), func(a Alive) bool { return isOdd(a.At) })
	m.Entries = slices.DeleteFunc(slices.Clone(m.Entries), func(e quarantine.Entry) bool { return e.Check() != nil })
	return m
}

// Upstream returns the upstream that a message is about; empty if it is about none.
func (m Message) Upstream() upstream.ID {
	switch {
	case m.Topic != "":
		return m.Topic
	case len(m.Crashes) > 0:
		return m.Crashes[0].Upstream
	case len(m.Alive) > 0:
		return m.Alive[0].Upstream
	case len(m.Entries) > 0 && len(m.Entries[0].Evidence) > 0:
		return m.Entries[0].Evidence[0].Upstream
	}
	return ""
}
