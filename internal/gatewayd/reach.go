package gatewayd

import (
	"context"
	"net/netip"
	"time"

	"github.com/poplarshore/poplarshore/internal/hints"
	"github.com/poplarshore/poplarshore/internal/peerrelay"
	"github.com/poplarshore/poplarshore/internal/reach"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/reachability"
	"github.com/poplarshore/poplarshore/upstream"
)

// peerDialTimeout is how long opening a connection to another VM may take.
const peerDialTimeout = 250 * time.Millisecond

// newReach returns the tracker of whether this VM reaches upstreams.
func (d *Daemon) newReach() *reach.Tracker {
	return reach.New(reach.Options{
		Reachability: reachability.DefaultOptions(), Usable: d.usableUpstreams, Probe: d.pool.Connect,
		OnRegained: d.directory.ForgetFailures, Clock: d.clock, Log: d.log, Registry: d.registry,
	})
}

// usableUpstreams returns the upstreams of a service that are neither leaving nor evacuated.
func (d *Daemon) usableUpstreams(service string) []reach.Target {
	var usable []reach.Target
	for _, e := range d.directory.ForService(service) {
		if !e.Leaving() && !e.Evacuated() {
			usable = append(usable, reach.Target{ID: e.ID(), Address: e.Address()})
		}
	}
	return usable
}

// findEndedConnections records the upstreams that have closed an unused connection early: they
// may have ended, and requests over a new connection would reach their successors cold.
func (d *Daemon) findEndedConnections(context.Context) {
	if !d.directory.LimitsColdUpstreams() {
		return
	}
	for _, address := range d.pool.CloseEnded() {
		d.directory.MarkUnreached(address)
	}
}

// announceCold tells other VMs for how long an upstream is cold, zero if it has ended.
func (d *Daemon) announceCold(u upstream.Upstream, coldFor time.Duration) {
	left := coldFor.Milliseconds()
	d.hints.Announce(hints.Hint{Upstream: u.ID, Cold: &left, Region: d.regionOf(u.Domain)})
}

// newPeers returns the chooser of VMs that relay requests for this one.
func (d *Daemon) newPeers() *peerrelay.Chooser {
	return peerrelay.NewChooser(peerrelay.Options{
		Domain: d.settings.VM.Domain, Region: d.settings.VM.Region, RegionOf: d.regionOf,
		Members: d.vms.Others, Clock: d.clock,
	})
}

// peerPoolOptions returns the options of the connections to VMs that relay requests. They
// come from the address by which the other VMs know this one.
func (d *Daemon) peerPoolOptions() upconn.Options {
	options := upconn.DefaultOptions()
	options.DialTimeout = peerDialTimeout
	own, err := netip.ParseAddrPort(d.settings.Relay.Address)
	if err != nil {
		d.log.Warn("address of the relay listener is no IP address; other VMs may not know this one by it", "error", err)
		return options
	}
	options.LocalAddress = own.Addr()
	return options
}

// announcedRelay returns the address at which other VMs may ask this one to relay requests,
// invalid if they can't reach it: it is a loopback address, and that of the VM's feed isn't.
func (d *Daemon) announcedRelay(feed netip.Addr) netip.AddrPort {
	address, err := netip.ParseAddrPort(d.relayServer.Address())
	if err != nil || address.Addr().IsLoopback() && !feed.IsLoopback() {
		d.log.Warn("this VM relays no requests of other VMs: they can't reach the relay listener", "address", d.relayServer.Address(), "error", err)
		return netip.AddrPort{}
	}
	return address
}

// isPeer reports whether an address is that of another VM.
func (d *Daemon) isPeer(address netip.Addr) bool { return peerrelay.IsMember(d.vms.Others(), address) }
