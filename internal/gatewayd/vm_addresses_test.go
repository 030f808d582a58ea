package gatewayd

import (
	"io"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/watch"
)

// TestEntryWithAddressOfKnownVMIsNotUsed guards against requests that this VM or another one gets
// back as an upstream, without the caller's key.
func TestEntryWithAddressOfKnownVMIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	d, _ := newEntriesDaemon(io.Discard)
	sink := &vmSink{shifts: d.shifts, vms: d.vms, quarantines: d.quarantines, onVMs: d.refreshVMAddresses}
	sink.Reset(watch.Batch{})
	d.upstreamSink.Reset(watch.Batch{Rows: []watch.Row{
		entryRow("feed", "d1", "10.0.0.1:8229", 1), entryRow("relay", "d1", "10.0.0.1:7341", 2), entryRow("sound", "d1", "10.0.0.1:9000", 3),
	}})
	g.Expect(d.directory.ForService("s")).To(HaveLen(3))
	row := watch.Row{Key: members.Prefix + "b", Value: []byte(`{"domain":"d1","hints":"10.0.0.1:7341","feed":"10.0.0.1:8229","relay":"10.0.0.1:7341"}`)}
	sink.Change(watch.Batch{Rows: []watch.Row{row}})
	left := d.directory.ForService("s")
	g.Expect(left).To(HaveLen(1))
	g.Expect(left[0].ID()).To(BeEquivalentTo("sound"))
	row.Deleted = true
	sink.Change(watch.Batch{Rows: []watch.Row{row}})
	g.Expect(d.directory.ForService("s")).To(HaveLen(3))
}

// TestPortsOfOwnListenersAreThoseOfAllVMs guards against an entry with the callers' address of another
// VM, which VMs don't announce.
func TestPortsOfOwnListenersAreThoseOfAllVMs(t *testing.T) {
	g := NewWithT(t)
	v := &vmAddresses{exact: map[netip.AddrPort]bool{}, ips: map[netip.Addr]bool{}, ports: map[uint16]bool{8227: true}, atLoopback: true}
	v.add(netip.MustParseAddrPort("10.0.0.1:8229"))
	for text, want := range map[string]bool{
		"10.0.0.1:8229": true, "10.0.0.1:8227": true, "127.0.0.2:8227": true, "10.0.0.1:9000": false, "10.0.0.2:8227": false, "10.0.0.2:8229": false,
	} {
		g.Expect(v.contains(netip.MustParseAddrPort(text))).To(Equal(want), text)
	}
	v.atLoopback = false
	g.Expect(v.contains(netip.MustParseAddrPort("127.0.0.2:8227"))).To(BeFalse(), "VMs and upstreams at different loopback addresses may have the same port")
}
