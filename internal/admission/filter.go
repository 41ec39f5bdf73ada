package admission

import (
	"encoding/binary"
	"net/netip"

	"golang.org/x/net/bpf"
)

// NetworkHeader is the load offset at which a socket filter finds the network header of a
// packet (SKF_NET_OFF in linux/filter.h).
const NetworkHeader = 0xfff00000

// maxInstructions is the maximum length of a program that the kernel accepts (BPF_MAXINSNS).
const maxInstructions = 4096

// Return values of the filter: the index of the listen queue that gets the connection.
const (
	filterUnknown = 0
	filterKnown   = 1
)

// Offsets in the network header and the size of a word, in bytes.
const (
	versionOffset    = 0
	ipv4SourceOffset = 12
	ipv6SourceOffset = 8
	wordSize         = 4
)

// KnownClientFilter returns a classic BPF program that returns 1 for packets whose source
// address is in KnownClients.Prefixes and 0 for others. The kernel uses it to put known
// clients into a separate listen queue. In a shared queue, a burst of unknown clients could
// delay known clients, or fill the queue so that the kernel drops connections of known clients.
//
// base is the offset of the network header. The result is nil if there are no known
// prefixes, or more than fit into a program (about 1,000 IPv4 or 300 IPv6 prefixes). All
// clients then share one listen queue, and Admit treats them as usual.
func (c *Config) KnownClientFilter(base uint32) []bpf.RawInstruction {
	prefixes := c.KnownClients.Prefixes
	if len(prefixes) == 0 {
		return nil
	}
	var ipv4, ipv6 []bpf.Instruction
	for _, p := range prefixes {
		if p.Addr().Is4() {
			ipv4 = append(ipv4, matchIPv4(p, base+ipv4SourceOffset)...)
		} else {
			ipv6 = append(ipv6, matchIPv6(p, base+ipv6SourceOffset)...)
		}
	}
	ipv4 = append(ipv4, bpf.RetConstant{Val: filterUnknown})
	ipv6 = append(ipv6, bpf.RetConstant{Val: filterUnknown})
	program := []bpf.Instruction{
		bpf.LoadAbsolute{Off: base + versionOffset, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpShiftRight, Val: 4},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: 4, SkipTrue: 1},
		bpf.Jump{Skip: uint32(len(ipv4))},
	}
	program = append(program, ipv4...)
	program = append(program, ipv6...)
	if len(program) > maxInstructions {
		return nil
	}
	raw, err := bpf.Assemble(program)
	if err != nil {
		return nil
	}
	return raw
}

// matchIPv4 returns instructions that return filterKnown for a source address in the prefix and
// fall through for others. offset is the offset of the source address.
func matchIPv4(p netip.Prefix, offset uint32) []bpf.Instruction {
	address := p.Addr().As4()
	network := binary.BigEndian.Uint32(address[:])
	return append(matchWord(offset, network, maskWord(p, 0), 1), bpf.RetConstant{Val: filterKnown})
}

// matchIPv6 is like matchIPv4 for an IPv6 prefix. It compares each word that the prefix covers.
func matchIPv6(p netip.Prefix, offset uint32) (match []bpf.Instruction) {
	address := p.Addr().As16()
	words := max(1, (p.Bits()+31)/32)
	for i := range words {
		network := binary.BigEndian.Uint32(address[wordSize*i:])
		skip := matchWordLength*(words-1-i) + 1 // skips the remaining comparisons and the return
		match = append(match, matchWord(offset+uint32(wordSize*i), network, maskWord(p, i), skip)...)
	}
	return append(match, bpf.RetConstant{Val: filterKnown})
}

// matchWordLength is the number of instructions that matchWord returns.
const matchWordLength = 3

// matchWord returns instructions that compare the masked word at offset with network, and skip
// the given number of instructions if they differ.
func matchWord(offset, network, mask uint32, skip int) []bpf.Instruction {
	return []bpf.Instruction{
		bpf.LoadAbsolute{Off: offset, Size: wordSize},
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: mask},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: network, SkipFalse: uint8(skip)},
	}
}

// maskWord returns the i-th 32-bit word of a prefix's mask.
func maskWord(p netip.Prefix, i int) uint32 {
	bits := min(max(p.Bits()-32*i, 0), 32)
	return uint32(uint64(0xffffffff) << (32 - bits))
}
