package admission

import (
	"encoding/binary"
	"net/netip"

	"golang.org/x/net/bpf"
)

// NetworkHeader is where the kernel lets a socket's program find the network
// header of a packet (SKF_NET_OFF of linux/filter.h).
const NetworkHeader = 0xfff00000

// maxProgram is how many instructions the kernel takes (BPF_MAXINSNS).
const maxProgram = 4096

// KnownClientFilter returns a program that gives 1 for packets whose source is one of the
// listed known prefixes and 0 for others, so that the kernel can let known clients
// wait in a listen queue of their own: a burst of others then stands in no one's
// way but its own. base is where the network header begins. It returns nil where
// there are no known prefixes, or more than a program can hold (about 1,000 of
// IPv4 or 300 of IPv6); all then wait in one queue, and are decided about alike.
func (c *Config) KnownClientFilter(base uint32) []bpf.RawInstruction {
	if len(c.Known) == 0 {
		return nil
	}
	var v4, v6 []bpf.Instruction
	word := func(at uint32, net, mask uint32, else_ int) []bpf.Instruction {
		return []bpf.Instruction{bpf.LoadAbsolute{Off: base + at, Size: 4}, bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: mask},
			bpf.JumpIf{Cond: bpf.JumpEqual, Val: net, SkipFalse: uint8(else_)}}
	}
	for _, p := range c.Known {
		if p.Addr().Is4() {
			a := p.Addr().As4()
			v4 = append(append(v4, word(12, binary.BigEndian.Uint32(a[:]), mask(p, 0), 1)...), bpf.RetConstant{Val: 1})
			continue
		}
		a := p.Addr().As16()
		words := max(1, (p.Bits()+31)/32)
		for i := range words {
			v6 = append(v6, word(uint32(8+4*i), binary.BigEndian.Uint32(a[4*i:]), mask(p, i), 3*(words-1-i)+1)...)
		}
		v6 = append(v6, bpf.RetConstant{Val: 1})
	}
	program := []bpf.Instruction{bpf.LoadAbsolute{Off: base, Size: 1}, bpf.ALUOpConstant{Op: bpf.ALUOpShiftRight, Val: 4},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: 4, SkipTrue: 1}, bpf.Jump{Skip: uint32(len(v4) + 1)}}
	program = append(append(program, v4...), bpf.RetConstant{Val: 0})
	program = append(append(program, v6...), bpf.RetConstant{Val: 0})
	if len(program) > maxProgram {
		return nil
	}
	raw, err := bpf.Assemble(program)
	if err != nil {
		return nil
	}
	return raw
}

// mask is the part of a prefix's mask in the i-th word of the address.
func mask(p netip.Prefix, i int) uint32 {
	bits := min(max(p.Bits()-32*i, 0), 32)
	return uint32(uint64(0xffffffff) << (32 - bits))
}
