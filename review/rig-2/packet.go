//go:build review

package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Offsets and flag bits of the packet header, as the platform's pages give them.
const (
	headerSize = 34

	targetPortOffset = 0
	sourcePortOffset = 2
	sourceOffset     = 4
	targetOffset     = 8
	seqOffset        = 12
	ackOffset        = 16
	sumOffset        = 20
	flagsOffset      = 24
	padOffset        = 25
	lenOffset        = 28
	echoOffset       = 30

	flagRST     = 1
	flagFIN     = 2
	flagSYN     = 32
	flagACK     = 64
	flagBounced = 128
)

// resetWindow is the distance from the caller's last acknowledgement within which a reset of the
// system is valid on an open flow.
const resetWindow = 76800

// packet is a packet between a caller and a server.
type packet struct {
	source, target netip.AddrPort
	seq, ack       uint32
	flags          byte
	payload        []byte
}

func putAddr(b []byte, a netip.AddrPort, addrOffset, portOffset int) {
	ip := a.Addr().As4()
	// The address is a little-endian integer.
	binary.LittleEndian.PutUint32(b[addrOffset:], binary.BigEndian.Uint32(ip[:]))
	binary.LittleEndian.PutUint16(b[portOffset:], a.Port())
}

func addrAt(b []byte, addrOffset, portOffset int) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], binary.LittleEndian.Uint32(b[addrOffset:]))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), binary.LittleEndian.Uint16(b[portOffset:]))
}

// encode returns the packet in wire format with its sum.
func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.payload))
	putAddr(b, p.target, targetOffset, targetPortOffset)
	putAddr(b, p.source, sourceOffset, sourcePortOffset)
	binary.LittleEndian.PutUint32(b[seqOffset:], p.seq)
	binary.LittleEndian.PutUint32(b[ackOffset:], p.ack)
	b[flagsOffset] = p.flags
	binary.LittleEndian.PutUint16(b[lenOffset:], uint16(len(p.payload)))
	b = append(b, p.payload...)
	binary.LittleEndian.PutUint32(b[sumOffset:], sumOf(b))
	return b
}

// decode parses a packet. valid is false if its length or its sum is wrong.
func decode(b []byte) (p packet, valid bool) {
	if len(b) < headerSize || headerSize+int(binary.LittleEndian.Uint16(b[lenOffset:])) != len(b) {
		return packet{}, false
	}
	p = packet{
		source: addrAt(b, sourceOffset, sourcePortOffset), target: addrAt(b, targetOffset, targetPortOffset),
		seq: binary.LittleEndian.Uint32(b[seqOffset:]), ack: binary.LittleEndian.Uint32(b[ackOffset:]),
		flags: b[flagsOffset], payload: b[headerSize:],
	}
	return p, binary.LittleEndian.Uint32(b[sumOffset:]) == sumOf(b)
}

// sumOf covers all fields except the sum, echo, pad and BOUNCED. It is never 0, which is the sum
// of the system's resets.
func sumOf(b []byte) uint32 {
	c := append([]byte("sum key"), b...)
	h := c[len("sum key"):]
	h[flagsOffset] &^= flagBounced
	clear(h[sumOffset : sumOffset+4])
	clear(h[padOffset : padOffset+3])
	clear(h[echoOffset : echoOffset+4])
	return crc32.ChecksumIEEE(c) | 1
}

// bounce marks a packet as not accepted by the server.
func bounce(b []byte) {
	b[flagsOffset] |= flagBounced
	clear(b[padOffset : padOffset+3])
}
