package netaddr_test

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/netaddr"
)

// TestIsUnicast guards against rows that make a VM send to nobody, to itself or to a whole network.
func TestIsUnicast(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]bool{
		"10.0.0.1:80": true, "[2001:db8::1]:80": true, "[::ffff:10.0.0.1]:80": true, "10.0.0.1:65535": true,
		"10.0.0.1:0": false, "0.0.0.0:80": false, "[::]:80": false, "[::ffff:0.0.0.0]:80": false, "224.0.0.1:80": false,
		"255.255.255.255:80": false, "[fe80::1%eth0]:80": false,
	} {
		g.Expect(netaddr.IsUnicast(netip.MustParseAddrPort(text))).To(Equal(want), text)
	}
	g.Expect(netaddr.IsUnicast(netip.AddrPort{})).To(BeFalse())
}
