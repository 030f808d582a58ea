package gatewayd

import (
	"maps"
	"net/netip"

	"github.com/poplarshore/poplarshore/internal/listen"
	"github.com/poplarshore/poplarshore/internal/netaddr"
)

// vmAddresses are the addresses at which VMs listen, as far as this VM knows.
type vmAddresses struct {
	// exact holds whole addresses: those of this VM's listeners and of the store, and those that
	// other VMs announce.
	exact map[netip.AddrPort]bool
	// ips holds the addresses of all VMs, and ports the ports of this VM's listeners, which are the
	// same on all VMs.
	ips   map[netip.Addr]bool
	ports map[uint16]bool
	// atLoopback reports that this VM's listeners can also be reached at its loopback addresses: they
	// aren't bound to one of these.
	atLoopback bool
}

// contains reports whether a VM listens at the address.
func (v *vmAddresses) contains(address netip.AddrPort) bool {
	ip := address.Addr()
	return v.exact[address] || v.ports[address.Port()] && (v.ips[ip] || v.atLoopback && ip.IsLoopback())
}

// equal reports whether both hold the same addresses.
func (v *vmAddresses) equal(o *vmAddresses) bool {
	return maps.Equal(v.exact, o.exact) && maps.Equal(v.ips, o.ips) && maps.Equal(v.ports, o.ports) && v.atLoopback == o.atLoopback
}

// add adds a whole address, if it is valid.
func (v *vmAddresses) add(address netip.AddrPort) {
	if !address.IsValid() {
		return
	}
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	v.exact[address] = true
	v.ips[address.Addr()] = true
}

// newVMAddresses returns the addresses of this VM's open listeners, of the store and of the other known
// VMs.
func (d *Daemon) newVMAddresses() *vmAddresses {
	v := &vmAddresses{exact: make(map[netip.AddrPort]bool), ips: make(map[netip.Addr]bool), ports: make(map[uint16]bool)}
	for _, server := range []*listen.Server{d.callerServer, d.healthServer, d.metricsServer, d.peerServer, d.relayServer} {
		if server == nil {
			continue
		}
		address, err := netip.ParseAddrPort(server.Address())
		if err != nil {
			d.log.Warn("listener without an IP address; an upstream's entry may name it", "address", server.Address(), "error", err)
			continue
		}
		v.add(address)
		v.ports[address.Port()] = true
		v.atLoopback = v.atLoopback || !address.Addr().IsLoopback()
	}
	for _, m := range d.vms.Others() {
		v.add(m.Feed)
		v.add(m.Relay)
		v.add(m.Callers)
		if m.Hints.IsValid() {
			v.ips[m.Hints.Addr().Unmap()] = true
		}
	}
	if store, err := netip.ParseAddrPort(d.settings.Store.Address); err == nil {
		v.exact[store] = true
	}
	return v
}

// announcedCallers returns the address at which this VM serves callers, invalid if that is not the
// address of one machine.
func (d *Daemon) announcedCallers() netip.AddrPort {
	address, err := netip.ParseAddrPort(d.callerServer.Address())
	if err != nil || !netaddr.IsUnicast(address) {
		d.log.Warn("the address for callers is not announced; an upstream's entry may name it", "address", d.callerServer.Address(), "error", err)
		return netip.AddrPort{}
	}
	return address
}

// refreshVMAddresses finds the addresses of VMs again, and the upstreams' entries that have one of
// them. It is called before the background tasks start, and then by the watch of the VMs' rows.
func (d *Daemon) refreshVMAddresses() {
	current := d.newVMAddresses()
	if before := d.vmAddresses.Load(); before != nil && before.equal(current) {
		return
	}
	d.vmAddresses.Store(current)
	d.directory.RefreshAddresses()
}

// isVMAddress reports whether a VM listens at an address.
func (d *Daemon) isVMAddress(address netip.AddrPort) bool {
	known := d.vmAddresses.Load()
	return known != nil && known.contains(address)
}
