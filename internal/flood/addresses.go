package flood

import "net/netip"

// addressesPerByte is the number of values that a counted byte of an address takes, from 1 on.
const addressesPerByte = 250

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
// 127.10.2.1 and so on. Up to 250 of them each have a /24 prefix of their own.
func OtherClientAddrs(n int) []netip.Addr {
	return addresses(n, func(network, host byte) [4]byte { return [4]byte{127, otherClientNetwork, host + 1, network + 1} })
}

// addresses returns n addresses. It calls address with host counting up from 0; after each
// addressesPerByte addresses, host restarts at 0 and network increases by one.
func addresses(n int, address func(network, host byte) [4]byte) []netip.Addr {
	var addrs []netip.Addr
	for i := range n {
		network, host := byte(i/addressesPerByte), byte(i%addressesPerByte)
		addrs = append(addrs, netip.AddrFrom4(address(network, host)))
	}
	return addrs
}
