//go:build review

package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The packet header of the platform; see "Packets" in PROTOCOL.md.
const (
	headSize = 34

	flagReset    = 1
	flagFinish   = 2
	flagOpen     = 32
	flagAck      = 64
	flagReturned = 128

	offsetSum    = 20
	offsetFlags  = 24
	offsetPad    = 25
	offsetLength = 28
	offsetEcho   = 30
)

// packet is a packet between a caller and a server.
type packet struct {
	from, to netip.AddrPort
	seq, ack uint32
	flags    byte
	data     []byte
}

// flowKey names a flow by the caller's end and the address of the route.
type flowKey struct{ caller, route netip.AddrPort }

func (p packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.LittleEndian.PutUint16(b, p.to.Port())
	binary.LittleEndian.PutUint16(b[2:], p.from.Port())
	putAddr(b[4:], p.from.Addr())
	putAddr(b[8:], p.to.Addr())
	binary.LittleEndian.PutUint32(b[12:], p.seq)
	binary.LittleEndian.PutUint32(b[16:], p.ack)
	b[offsetFlags] = p.flags
	binary.LittleEndian.PutUint16(b[offsetLength:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[offsetSum:], checksum(b))
	return b
}

// decode parses a packet. intact is false if its sender did not write it so.
func decode(b []byte) (p packet, intact bool) {
	if len(b) < headSize || headSize+int(binary.LittleEndian.Uint16(b[offsetLength:])) != len(b) {
		return packet{}, false
	}
	p = packet{
		from:  netip.AddrPortFrom(addrAt(b[4:]), binary.LittleEndian.Uint16(b[2:])),
		to:    netip.AddrPortFrom(addrAt(b[8:]), binary.LittleEndian.Uint16(b)),
		seq:   binary.LittleEndian.Uint32(b[12:]),
		ack:   binary.LittleEndian.Uint32(b[16:]),
		flags: b[offsetFlags],
		data:  b[headSize:],
	}
	return p, binary.LittleEndian.Uint32(b[offsetSum:]) == checksum(b)
}

// isSystemReset reports whether a packet is a reset that the system sent itself.
func isSystemReset(b []byte) bool {
	return len(b) == headSize && b[offsetFlags] == flagReset && binary.LittleEndian.Uint32(b[offsetSum:]) == 0
}

func putAddr(b []byte, addr netip.Addr) {
	octets := addr.As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(octets[:]))
}

func addrAt(b []byte) netip.Addr {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], binary.LittleEndian.Uint32(b))
	return netip.AddrFrom4(octets)
}

// checksum is the keyed sum of the ends. It is never 0, which marks a reset of the
// system.
func checksum(b []byte) uint32 {
	c := append([]byte("key of the two ends"), b...)
	h := c[len(c)-len(b):]
	h[offsetFlags] &^= flagReturned
	clear(h[offsetSum : offsetSum+4])
	clear(h[offsetPad : offsetPad+3])
	clear(h[offsetEcho : offsetEcho+4])
	return crc32.ChecksumIEEE(c) | 1
}
