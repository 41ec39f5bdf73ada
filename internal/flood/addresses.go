package flood

import "net/netip"

// hostsPerNetwork is the number of addresses that share a network number.
const hostsPerNetwork = 250

// Second bytes of the loopback addresses of each kind of client.
const (
	knownClientNetwork = 9
	otherClientNetwork = 10
	sourceNetwork      = 20
)

// SourceAddrs returns n source addresses for a flood: 127.20.0.1, 127.20.0.2 and so on.
func SourceAddrs(n int) []netip.Addr {
	return addresses(n, func(network, host byte) [4]byte { return [4]byte{127, sourceNetwork, network, host + 1} })
}

// KnownClientAddrs returns the addresses of n known clients: 127.9.0.1, 127.9.0.2 and so on.
func KnownClientAddrs(n int) []netip.Addr {
	return addresses(n, func(network, host byte) [4]byte { return [4]byte{127, knownClientNetwork, network, host + 1} })
}

// OtherClientAddrs returns the addresses of n clients that are not known to the gateway: 127.10.1.1,
// 127.10.2.1 and so on. The first 250 have a /24 prefix each.
func OtherClientAddrs(n int) []netip.Addr {
	return addresses(n, func(network, host byte) [4]byte { return [4]byte{127, otherClientNetwork, host + 1, network + 1} })
}

// addresses returns n addresses, each made by a call of address. host counts up from 0; after each
// hostsPerNetwork addresses it restarts at 0 and network increases by one.
func addresses(n int, address func(network, host byte) [4]byte) []netip.Addr {
	var addrs []netip.Addr
	for i := range n {
		network, host := byte(i/hostsPerNetwork), byte(i%hostsPerNetwork)
		addrs = append(addrs, netip.AddrFrom4(address(network, host)))
	}
	return addrs
}
