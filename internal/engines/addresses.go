package engines

import (
	"net/netip"
	"time"
)

// exclusion says why an upstream's entry names no upstream to use.
type exclusion int32

const (
	notExcluded exclusion = iota
	// vmAddress: the address is that of a VM, which would pass requests round and round.
	vmAddress
	// othersAddress: another upstream answers at the address.
	othersAddress
)

// String returns the reason as a label value.
func (x exclusion) String() string {
	return [...]string{notExcluded: "", vmAddress: "vm_address", othersAddress: "others_address"}[x]
}

// holdsAddressFor is how long before another entry with its address an upstream must have answered
// to be taken as the one that has the address. The platform assigns an address again only
// some seconds after its upstream has ended.
const holdsAddressFor = time.Second

// addressEvidence is what this VM knows of whether an upstream has the address of its entry. It is
// guarded by the engine's mu.
type addressEvidence struct {
	registeredAt time.Time
	// answeredAt is when the upstream last gave an answer of its own, and misdirectedAt when its
	// address last answered that it has another upstream, if it has given none since. Zero for never.
	answeredAt, misdirectedAt time.Time
}

// outweighs reports whether the evidence shows that o has no right to the address that both have.
func (a addressEvidence) outweighs(o addressEvidence) bool {
	if !a.misdirectedAt.Equal(o.misdirectedAt) {
		return a.misdirectedAt.Before(o.misdirectedAt)
	}
	return a.answeredAt.After(o.answeredAt) && !a.answeredAt.Before(o.registeredAt.Add(-holdsAddressFor))
}

// MarkMisdirected records that another upstream has the address: it answered that it isn't this one.
func (e *Engine) MarkMisdirected() {
	now := e.directory.clock.Now()
	e.mu.Lock()
	e.evidence.misdirectedAt = now
	e.mu.Unlock()
	if e.sharesAddress.Load() {
		e.directory.RefreshAddresses()
	}
}

// MarkAnswered records that the upstream itself gave an answer.
func (e *Engine) MarkAnswered() {
	now := e.directory.clock.Now()
	e.mu.Lock()
	e.evidence.answeredAt, e.evidence.misdirectedAt = now, time.Time{}
	e.mu.Unlock()
	if e.sharesAddress.Load() && !e.holdsAddress.Load() {
		e.directory.RefreshAddresses()
	}
}

// RefreshAddresses finds again which entries name no upstream because of their address. It is to be
// called when Options.IsVM changes.
func (d *Directory) RefreshAddresses() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rebuildIndex()
}

// excludeByAddress finds the entries that name no upstream to use because of their address: that of a VM,
// or one at which another upstream answers. Until that is known, all with the same address are used. The
// caller holds mu.
func (d *Directory) excludeByAddress() {
	byAddress := make(map[string]*Engine, len(d.byID))
	var shared map[string][]*Engine
	for _, e := range d.byID {
		address := e.Address()
		first := byAddress[address]
		if first == nil {
			byAddress[address] = e
			continue
		}
		if shared == nil {
			shared = make(map[string][]*Engine)
		}
		if shared[address] == nil {
			shared[address] = []*Engine{first}
		}
		shared[address] = append(shared[address], e)
	}
	for _, e := range d.byID {
		group := shared[e.Address()]
		e.sharesAddress.Store(len(group) > 1)
		reason := d.exclusionOf(e, group)
		if before := exclusion(e.excluded.Swap(int32(reason))); before != reason {
			d.reportExclusion(e, reason)
		}
	}
	for _, group := range shared {
		markHolder(group)
	}
}

// exclusionOf returns why the entry names no upstream. group holds the entries with the same address if
// there are several.
func (d *Directory) exclusionOf(e *Engine, group []*Engine) exclusion {
	if d.opts.IsVM != nil && e.addressPort.IsValid() && d.opts.IsVM(e.addressPort) {
		return vmAddress
	}
	if len(group) < 2 {
		return notExcluded
	}
	own := e.addressEvidence()
	for _, other := range group {
		if other != e && other.addressEvidence().outweighs(own) {
			return othersAddress
		}
	}
	return notExcluded
}

// markHolder records whether one entry of a group with the same address is the only one in use.
func markHolder(group []*Engine) {
	inUse := 0
	for _, e := range group {
		if exclusion(e.excluded.Load()) == notExcluded {
			inUse++
		}
	}
	for _, e := range group {
		e.holdsAddress.Store(inUse == 1 && exclusion(e.excluded.Load()) == notExcluded)
	}
}

// reportExclusion logs and counts that an entry names no upstream, or does so again.
func (d *Directory) reportExclusion(e *Engine, reason exclusion) {
	if reason == notExcluded {
		d.log.Info("upstream entry names an upstream again", "upstream", e.ID(), "address", e.Address())
		return
	}
	d.excluded.WithLabelValues(reason.String()).Inc()
	d.log.Warn("upstream entry names no upstream because of its address", "upstream", e.ID(), "address", e.Address(),
		"service", e.entry().Service, "cause", reason.String())
}

func (e *Engine) addressEvidence() addressEvidence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evidence
}

// parseAddress returns the parsed address of an entry, invalid if it is none.
func parseAddress(text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}
