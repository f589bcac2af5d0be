package roster

import (
	"encoding/binary"
	"math"
	"time"
)

// The load of a server is an extension of heartbeats that earlier builds ignore. It has two
// fields of 16 bits, in little-endian order:
//
//   - The mean service time, in units of 0.1 ms, from 1 (at most 0.1 ms) to 65,535 (6.5535 s or
//     more), rounded to the nearest unit; 0 is an unknown service time.
//   - The number of pending requests, from 0 to 65,535 (65,535 or more).
//
// In a full heartbeat it follows the strings. In the long form of a compact heartbeat it takes
// the place of the last byte, which is unused in the short form. Earlier builds reject the long
// form, so it is sent only to members whose heartbeats have acceptsLoadFlag.
const (
	// loadSize is the size of the extension, in bytes.
	loadSize = 4
	// serviceTimeUnit is the unit of the service time on the wire.
	serviceTimeUnit = 100 * time.Microsecond
)

// appendLoad appends the wire format of the load.
func appendLoad(b []byte, pending int, serviceTime time.Duration) []byte {
	units := uint16(0)
	if serviceTime > 0 {
		units = uint16(min(max(serviceTime.Round(serviceTimeUnit)/serviceTimeUnit, 1), math.MaxUint16))
	}
	b = binary.LittleEndian.AppendUint16(b, units)
	return binary.LittleEndian.AppendUint16(b, uint16(min(max(pending, 0), math.MaxUint16)))
}

// parseLoad parses the wire format of the load.
func parseLoad(b []byte) (pending int, serviceTime time.Duration) {
	return int(binary.LittleEndian.Uint16(b[2:])), time.Duration(binary.LittleEndian.Uint16(b)) * serviceTimeUnit
}
