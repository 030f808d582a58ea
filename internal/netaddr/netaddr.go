// Package netaddr checks the network addresses that rows of the store name.
package netaddr

import "net/netip"

// broadcast is the IPv4 address of all machines of a network.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// IsUnicast reports whether an address is that of one machine, with a port from 1.
func IsUnicast(address netip.AddrPort) bool {
	ip := address.Addr().Unmap()
	return ip.IsValid() && address.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip != broadcast && ip.Zone() == ""
}
