package quarantines

// Spread asks the receiver of a message to pass it on to a part of the VMs. The zero value
// asks for nothing. Builds that don't know it do nothing, so it is sent only to VMs that
// report support for it.
type Spread struct {
	// Region asks to pass the message on to the VMs of the receiver's region.
	Region bool `json:"region,omitzero"`
	// Groups, if not 0, asks to pass the message on to the VMs of group Group, from 0, of the
	// Groups groups into which the receiver's region is divided.
	Group  int `json:"group,omitzero"`
	Groups int `json:"groups,omitzero"`
}

// Priority orders messages when not all can be sent. The lowest value is sent first.
type Priority int

// The priorities.
const (
	// PriorityEntries is that of quarantines in force.
	PriorityEntries Priority = iota
	// PriorityStrong is that of crashes with strong evidence.
	PriorityStrong
	// PrioritySound is that of sound answers.
	PrioritySound
	// PriorityOther is that of weak evidence and of upstreams that are alive.
	PriorityOther
	// Priorities is the number of priorities.
	Priorities = int(PriorityOther) + 1
)

// Priority returns the priority of the message.
func (m Message) Priority() Priority {
	if len(m.Entries) > 0 {
		return PriorityEntries
	}
	for _, c := range m.Crashes {
		for _, s := range c.Suspects {
			if s.Begun {
				return PriorityStrong
			}
		}
	}
	if len(m.Sound) > 0 {
		return PrioritySound
	}
	return PriorityOther
}
