package flood

import "net/netip"

// addressesPerByte are the values that one byte of a source address takes, from 1 on.
const addressesPerByte = 250

// The second bytes of the loopback networks that the kinds of clients come from.
const (
	knownClientNetwork = 9
	otherClientNetwork = 10
	sourceNetwork      = 20
)

// SourceAddrs are the addresses of a flood from n sources: 127.20.0.1 and the following.
func SourceAddrs(n int) []netip.Addr {
	return addresses(n, func(network, host byte) [4]byte { return [4]byte{127, sourceNetwork, network, host + 1} })
}

// KnownClientAddrs are the addresses of n known clients: 127.9.0.1 and the following.
func KnownClientAddrs(n int) []netip.Addr {
	return addresses(n, func(network, host byte) [4]byte { return [4]byte{127, knownClientNetwork, network, host + 1} })
}

// OtherClientAddrs are the addresses of n clients that are on no list: 127.10.1.1, 127.10.2.1 and
// so on, so that 250 of them are each in a prefix of their own.
func OtherClientAddrs(n int) []netip.Addr {
	return addresses(n, func(network, host byte) [4]byte { return [4]byte{127, otherClientNetwork, host + 1, network + 1} })
}

// addresses makes n addresses out of two numbers: host counts up from 0 and network up with each
// addressesPerByte of them.
func addresses(n int, address func(network, host byte) [4]byte) []netip.Addr {
	var addrs []netip.Addr
	for i := range n {
		network, host := byte(i/addressesPerByte), byte(i%addressesPerByte)
		addrs = append(addrs, netip.AddrFrom4(address(network, host)))
	}
	return addrs
}
