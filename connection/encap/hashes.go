package encap

import (
	"encoding/binary"
	"net/netip"
)

const (
	// MaxHashes is the largest number of flow hashes in one datagram. It keeps the
	// datagram below 1,200 bytes.
	MaxHashes = 140

	hashSize = 8
)

// AppendHashes appends a datagram of kind KindRegistration or KindRelease to b,
// with the hashes of flows that the agent at holder holds or no longer holds.
// Hashes beyond MaxHashes are ignored.
func AppendHashes(b []byte, kind Kind, holder netip.AddrPort, hashes []uint64) []byte {
	hashes = hashes[:min(len(hashes), MaxHashes)]
	h := Header{Kind: kind}
	h.Add(holder)
	var header [MaxHeaderSize]byte
	b = append(b, header[:h.Put(header[:])]...)
	for _, hash := range hashes {
		b = binary.BigEndian.AppendUint64(b, hash)
	}
	return b
}

// DecodeHashes decodes the flow hashes that follow the header of a registration
// or release into hashes, and returns the holder and the filled part of hashes.
func DecodeHashes(h *Header, rest []byte, hashes *[MaxHashes]uint64) (holder netip.AddrPort, filled []uint64, err error) {
	if h.Len() != 1 {
		return netip.AddrPort{}, nil, ErrAddresses
	}
	if len(rest)%hashSize != 0 || len(rest) > MaxHashes*hashSize {
		return netip.AddrPort{}, nil, ErrTruncated
	}
	n := len(rest) / hashSize
	for i := range n {
		hashes[i] = binary.BigEndian.Uint64(rest[i*hashSize:])
	}
	return h.Address(0), hashes[:n], nil
}
