package relay

import (
	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/refusal"
)

// refuseQuarantined returns a refusal if such requests crash upstreams.
func (x *exchange) refuseQuarantined() *refusal.Refusal {
	exclusion, excluded := x.server.Quarantine.Check(x.keys)
	if !excluded {
		return nil
	}
	return refusal.New(refusal.Quarantined).WithRetryAfter(exclusion.RetryAfter).
		With("Key %v, held back only: %t; crashes: %v.", exclusion.Key, exclusion.Held, exclusion.Evidence)
}

// sharedParts returns the parts of the prompt that other requests may share: all but the
// last one.
func (r *Request) sharedParts() []Part {
	return r.Parts[:max(len(r.Parts)-1, 0)]
}

// quarantineKeys returns the keys of the shared parts of the prompt, and that of the request.
func (x *exchange) quarantineKeys() []quarantine.Key {
	digester := x.server.Digester
	var keys []quarantine.Key
	for _, p := range x.request.sharedParts() {
		keys = append(keys, digester.Part(p.ID))
	}
	return append(keys, digester.Request(quarantine.Request{
		Method: x.request.Method, Host: x.request.Host, Target: x.request.Target, Account: x.account, Body: x.body,
	}))
}

// lostKeys returns the keys for the log, if an attempt lost its connection; otherwise nil.
func (x *exchange) lostKeys() []quarantine.Key {
	if !x.connectionLost {
		return nil
	}
	return x.keys
}
