package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/upstream"
)

// Incarnation identifies one life of an upstream, which may start again under its ID.
type Incarnation struct {
	Upstream upstream.ID `json:"upstream"`
	// Born is the start of the upstream, in Unix milliseconds; zero if unknown.
	Born int64 `json:"born,omitzero"`
}

func (i Incarnation) compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(i.Upstream, o.Upstream), cmp.Compare(i.Born, o.Born))
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

// Compare orders suspects by their requests, and those without one by their first keys.
func (s Suspect) Compare(o Suspect) int {
	return cmp.Or(s.request().Compare(o.request()), slices.CompareFunc(s.Keys, o.Keys, Key.Compare))
}

// Crash is what a VM saw of the end of an upstream.
type Crash struct {
	Incarnation
	// At is the time on the clock that all VMs share.
	At       time.Duration `json:"at"`
	Suspects []Suspect     `json:"suspects"`
}

// Compare orders crashes by their times, and those of the same time by their upstreams.
func (c Crash) Compare(o Crash) int {
	return cmp.Or(cmp.Compare(c.At, o.At), c.Incarnation.compare(o.Incarnation))
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
