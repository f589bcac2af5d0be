package passthrough

import (
	"encoding/binary"

	"bergamotbank/errkind"
)

// Checkpoint is the list of open flows of a backend server that its agent stores
// outside its VM, so that the flows can be reset at their callers after a power
// loss.
type Checkpoint struct {
	// Incarnation identifies the run of the backend server that held the flows.
	Incarnation uint32
	// Flows are the open flows.
	Flows []CheckpointFlow
}

// CheckpointFlow is an open flow in a checkpoint.
type CheckpointFlow struct {
	Flow Flow
	// Ack is a recent acknowledgement number of the caller, needed for a reset.
	Ack uint32
}

const (
	// checkpointFormatVersion is the first byte of an encoded checkpoint.
	checkpointFormatVersion = 1
	checkpointHeaderSize    = 1 + 4
	checkpointFlowSize      = flowSize + 4
)

// Encode returns the encoded checkpoint.
func (c *Checkpoint) Encode() []byte {
	b := make([]byte, 0, checkpointHeaderSize+len(c.Flows)*checkpointFlowSize)
	b = binary.LittleEndian.AppendUint32(append(b, checkpointFormatVersion), c.Incarnation)
	for _, f := range c.Flows {
		b = binary.LittleEndian.AppendUint32(appendFlow(b, f.Flow), f.Ack)
	}
	return b
}

// ParseCheckpoint decodes a checkpoint. The error has kind Malformed.
func ParseCheckpoint(b []byte) (Checkpoint, error) {
	if len(b) < checkpointHeaderSize || b[0] != checkpointFormatVersion || (len(b)-checkpointHeaderSize)%checkpointFlowSize != 0 {
		return Checkpoint{}, errkind.New(errkind.Malformed, "checkpoint of %d bytes has an invalid length or format version", len(b))
	}
	c := Checkpoint{Incarnation: binary.LittleEndian.Uint32(b[1:])}
	for rest := b[checkpointHeaderSize:]; len(rest) > 0; rest = rest[checkpointFlowSize:] {
		c.Flows = append(c.Flows, CheckpointFlow{Flow: flowAt(rest), Ack: binary.LittleEndian.Uint32(rest[flowSize:])})
	}
	return c, nil
}
