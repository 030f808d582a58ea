package engines

import (
	"cmp"
	"net/netip"
	"slices"
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

// compare returns a positive number if a is stronger than o, and a negative one if it is weaker: an earlier
// 421, or none, counts first, and then a later answer.
func (a addressEvidence) compare(o addressEvidence) int {
	return cmp.Or(o.misdirectedAt.Compare(a.misdirectedAt), a.answeredAt.Compare(o.answeredAt))
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
		e.directory.weighAgain(e.Address())
	}
}

// MarkAnswered records that the upstream itself gave an answer.
func (e *Engine) MarkAnswered() {
	now := e.directory.clock.Now()
	e.mu.Lock()
	e.evidence.answeredAt, e.evidence.misdirectedAt = now, time.Time{}
	e.mu.Unlock()
	if e.sharesAddress.Load() && !e.holdsAddress.Load() {
		e.directory.weighAgain(e.Address())
	}
}

// weighAgain finds again which entries with an address name no upstream.
func (d *Directory) weighAgain(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.weigh(address)
	d.rebuildIndex()
}

// RefreshAddresses finds again which entries name no upstream because of their address. It is to be
// called when Options.IsVM changes.
func (d *Directory) RefreshAddresses() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address := range d.byAddress {
		d.weigh(address)
	}
	d.rebuildIndex()
}

// The caller of the following methods of Directory holds mu.

// attach adds an upstream to those with its address.
func (d *Directory) attach(e *Engine) {
	address := e.Address()
	d.byAddress[address] = append(d.byAddress[address], e)
	d.weigh(address)
}

// detach removes an upstream from those with its address.
func (d *Directory) detach(e *Engine) {
	address := e.Address()
	others := slices.DeleteFunc(d.byAddress[address], func(o *Engine) bool { return o == e })
	if len(others) == 0 {
		delete(d.byAddress, address)
		return
	}
	d.byAddress[address] = others
	d.weigh(address)
}

// weigh finds which entries with an address name no upstream to use: all if it is that of a VM, and those
// that the evidence speaks against if several have it. Until there is evidence, all of them are used.
func (d *Directory) weigh(address string) {
	group := d.byAddress[address]
	if len(group) == 0 {
		return
	}
	inUse, best := 0, strongest(group)
	for _, e := range group {
		e.sharesAddress.Store(len(group) > 1)
		reason := d.exclusionOf(e, best)
		if before := exclusion(e.excluded.Swap(int32(reason))); before != reason {
			d.reportExclusion(e, reason)
		}
		if reason == notExcluded {
			inUse++
		}
	}
	for _, e := range group {
		e.holdsAddress.Store(inUse == 1 && exclusion(e.excluded.Load()) == notExcluded)
	}
}

// exclusionOf returns why the entry names no upstream. best is the strongest evidence among the entries
// with the same address.
func (d *Directory) exclusionOf(e *Engine, best addressEvidence) exclusion {
	if d.opts.IsVM != nil && e.addressPort.IsValid() && d.opts.IsVM(e.addressPort) {
		return vmAddress
	}
	if best.outweighs(e.addressEvidence()) {
		return othersAddress
	}
	return notExcluded
}

// strongest returns the evidence of a group that outweighs the others' if any does.
func strongest(group []*Engine) addressEvidence {
	best := group[0].addressEvidence()
	for _, e := range group[1:] {
		if own := e.addressEvidence(); own.compare(best) > 0 {
			best = own
		}
	}
	return best
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
