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
	// vmAddress: the address is that of a VM, which would pass requests round and round, or a VM's row
	// names it and no answer shows that the upstream is there.
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
	// provesUpstream reports whether an answer since the last one of another upstream or a VM shows that
	// the upstream has the address, whatever the rows of VMs say. One that came before these were read
	// doesn't: VMs of older builds pass on answers of upstreams and add no field that tells.
	provesUpstream bool
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

// MarkMisdirected records that another upstream or a VM has the address: it answered that it isn't this
// upstream.
func (e *Engine) MarkMisdirected() {
	now := e.directory.clock.Now()
	e.mu.Lock()
	e.evidence.misdirectedAt, e.evidence.provesUpstream = now, false
	e.mu.Unlock()
	if e.sharesAddress.Load() {
		e.directory.weighAgain(e.Address())
	}
}

// MarkAnswered records that the upstream itself gave an answer.
func (e *Engine) MarkAnswered() {
	now, vmsRead := e.directory.clock.Now(), e.directory.vmsRead()
	e.mu.Lock()
	e.evidence.answeredAt, e.evidence.misdirectedAt = now, time.Time{}
	e.evidence.provesUpstream = e.evidence.provesUpstream || vmsRead
	e.mu.Unlock()
	if e.sharesAddress.Load() && !e.holdsAddress.Load() {
		e.directory.weighAgain(e.Address())
	}
}

// vmsRead reports whether the rows of VMs have been read.
func (d *Directory) vmsRead() bool { return d.opts.VMsRead == nil || d.opts.VMsRead() }

// weighAgain finds again which entries with an address name no upstream.
func (d *Directory) weighAgain(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.weigh(address)
	d.rebuildIndex()
}

// RefreshAddresses finds again which entries name no upstream because of their address. It is to be
// called when Options.IsVM or Options.IsAnnounced changes.
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

// weigh finds which entries with an address name no upstream to use: all if it is that of a VM, those that
// no evidence speaks for if a VM's row names it, and those that the evidence speaks against if several have
// it. Until there is evidence, all entries are used at an address that no VM's row names.
func (d *Directory) weigh(address string) {
	group := d.byAddress[address]
	if len(group) == 0 {
		return
	}
	inUse, best, announced := 0, strongest(group), d.isAnnounced(group[0])
	for _, e := range group {
		e.sharesAddress.Store(len(group) > 1 || announced)
		// An answer from here on is weighed again, as the evidence may have been read before it.
		e.holdsAddress.Store(false)
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
	own := e.addressEvidence()
	if d.isAnnounced(e) && !own.provesUpstream {
		return vmAddress
	}
	if best.outweighs(own) {
		return othersAddress
	}
	return notExcluded
}

// isAnnounced reports whether the row of a VM names the upstream's address.
func (d *Directory) isAnnounced(e *Engine) bool {
	return d.opts.IsAnnounced != nil && e.addressPort.IsValid() && d.opts.IsAnnounced(e.addressPort)
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
