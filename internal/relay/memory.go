package relay

import (
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/vm"
)

// Errors of what is kept of a response. The names of the types are outcomes in metrics and logs.
var (
	// errTooLarge reports that a response, or an event of it, is larger than allowed.
	errTooLarge = upconn.ErrBroken.NewSubtype("too_large")
	// errOverShare reports that the sender of the response has used up its share of the VM's memory.
	errOverShare = upconn.ErrBroken.NewSubtype("over_share")
	// errNoMemory reports that others, such as the other upstreams of the service, have. It says nothing about the sender.
	errNoMemory = upconn.ErrBroken.NewSubtype("no_memory")
)

// reserveFor returns a reservation for what the upstream sends. It must be released.
func (x *exchange) reserveFor(e *engines.Engine) *membudget.Reservation {
	return x.server.Memory.Reserve(
		membudget.Holder{Kind: membudget.Upstream, ID: string(e.ID())},
		membudget.Holder{Kind: membudget.Service, ID: x.service})
}

// reserveForPeer returns a reservation for what another VM sends. It must be released.
func (x *exchange) reserveForPeer(id vm.ID) *membudget.Reservation {
	return x.server.Memory.Reserve(
		membudget.Holder{Kind: membudget.VM, ID: string(id)},
		membudget.Holder{Kind: membudget.Service, ID: x.service})
}

// reserveForCaller returns a reservation for the body of the caller's request. It must be released.
func (x *exchange) reserveForCaller() *membudget.Reservation {
	return x.server.Memory.Reserve(x.callerHolders()...)
}

// callerHolders returns the holders of what is kept for the caller: its account, or the VM that asks, and all callers.
func (x *exchange) callerHolders() []membudget.Holder {
	owner := membudget.Holder{Kind: membudget.Account, ID: string(x.account)}
	if x.hop != nil {
		owner = membudget.Holder{Kind: membudget.VM, ID: string(x.hop.from)}
	}
	return []membudget.Holder{owner, {Kind: membudget.Callers}}
}

// keepError returns the error of an attempt of which the named sender's response could not be kept.
func keepError(err error, sender string) error {
	switch {
	case errorx.IsOfType(err, membudget.ErrTooLarge):
		return errTooLarge.Wrap(err, "response from %s", sender)
	case errorx.IsOfType(err, membudget.ErrHolderShare):
		return errOverShare.Wrap(err, "response from %s", sender)
	}
	return errNoMemory.Wrap(err, "response from %s", sender)
}

// releaseMemory returns what the exchange has reserved for its request and a response.
func (x *exchange) releaseMemory() {
	if x.bodyMemory != nil {
		x.bodyMemory.Release()
	}
	if x.buffered != nil {
		x.buffered.release()
	}
}
