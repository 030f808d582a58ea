package quarantine

import (
	"time"

	"github.com/poplarshore/poplarshore/upstream"
)

// Incarnation identifies one life of an upstream, which may start again under its ID.
type Incarnation struct {
	Upstream upstream.ID `json:"upstream"`
	// Born is the start of the upstream, in Unix milliseconds; zero if unknown.
	Born int64 `json:"born,omitzero"`
}

// Suspect is a request that an upstream ran, or may have run, when it ended.
type Suspect struct {
	// Keys are the keys of the parts of its prompt that other requests may share, in
	// their order, and then that of the request.
	Keys []Key `json:"keys,omitempty"`
	// Begun reports that its answer had just begun, or could not be seen to begin.
	Begun bool `json:"begun,omitzero"`
}

// request returns the key of the whole request; zero if it is not among the keys.
func (s Suspect) request() Key {
	if n := len(s.Keys); n > 0 && s.Keys[n-1].Kind == WholeRequest {
		return s.Keys[n-1]
	}
	return Key{}
}

// Crash is what a VM saw of the end of an upstream.
type Crash struct {
	Incarnation
	// At is the time on the clock that all VMs share.
	At       time.Duration `json:"at"`
	Suspects []Suspect     `json:"suspects"`
}

// Evidence is a crash that speaks against a key.
type Evidence struct {
	Upstream upstream.ID   `json:"upstream"`
	At       time.Duration `json:"at"`
}

// Verdict finds that requests with the key crash upstreams.
type Verdict struct {
	Key      Key
	Evidence []Evidence
}
