package admission

import (
	"encoding/binary"
	"net/netip"

	"golang.org/x/net/bpf"
)

// NetworkHeader is the offset by which a socket's program finds the network header of a
// packet (SKF_NET_OFF of linux/filter.h).
const NetworkHeader = 0xfff00000

// maxInstructions is how many instructions the kernel takes in a program (BPF_MAXINSNS).
const maxInstructions = 4096

// What the filter returns.
const (
	filterUnknown = 0
	filterKnown   = 1
)

// Offsets in the network header, and a length, in bytes.
const (
	versionOffset    = 0
	ipv4SourceOffset = 12
	ipv6SourceOffset = 8
	wordSize         = 4
)

// KnownClientFilter returns a classic BPF program that gives 1 for packets whose source
// is in KnownClients.Prefixes and 0 for others. With it the kernel gives known clients a
// listen queue of their own. Guards against a burst of unknown clients that fills the
// listen queue, behind which known ones would wait or be dropped.
//
// base is the offset of the network header. The result is nil if there are no known
// prefixes, or more than a program can hold (about 1,000 of IPv4 or 300 of IPv6); all
// clients then wait in one queue, and Admit decides about them just the same.
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

// matchIPv4 returns filterKnown for a source in the prefix, and goes on after itself for
// others. offset is that of the source address.
func matchIPv4(p netip.Prefix, offset uint32) []bpf.Instruction {
	address := p.Addr().As4()
	network := binary.BigEndian.Uint32(address[:])
	return append(matchWord(offset, network, maskWord(p, 0), 1), bpf.RetConstant{Val: filterKnown})
}

// matchIPv6 is matchIPv4 for IPv6, with a comparison of each word that the prefix covers.
func matchIPv6(p netip.Prefix, offset uint32) (match []bpf.Instruction) {
	address := p.Addr().As16()
	words := max(1, (p.Bits()+31)/32)
	for i := range words {
		network := binary.BigEndian.Uint32(address[wordSize*i:])
		skip := matchWordLength*(words-1-i) + 1 // the comparisons left, and the return
		match = append(match, matchWord(offset+uint32(wordSize*i), network, maskWord(p, i), skip)...)
	}
	return append(match, bpf.RetConstant{Val: filterKnown})
}

// matchWordLength is how many instructions matchWord has.
const matchWordLength = 3

// matchWord compares a word of the packet with that of a network, and skips so many
// instructions where they differ.
func matchWord(offset, network, mask uint32, skip int) []bpf.Instruction {
	return []bpf.Instruction{
		bpf.LoadAbsolute{Off: offset, Size: wordSize},
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: mask},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: network, SkipFalse: uint8(skip)},
	}
}

// maskWord is the i-th 32-bit word of a prefix's mask.
func maskWord(p netip.Prefix, i int) uint32 {
	bits := min(max(p.Bits()-32*i, 0), 32)
	return uint32(uint64(0xffffffff) << (32 - bits))
}
