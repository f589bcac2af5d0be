package passthrough

import (
	"encoding/binary"

	"bergamotbank/errkind"
)

// Checkpoint is what an agent keeps outside its VM of the open flows of its backend
// server, so that their callers can be told when a power loss has ended them.
type Checkpoint struct {
	// Incarnation is the run of the backend server that held the flows.
	Incarnation uint32
	// Flows are the open flows.
	Flows []CheckpointFlow
}

// CheckpointFlow is an open flow in a checkpoint.
type CheckpointFlow struct {
	Flow Flow
	// Ack is a recent acknowledgement number of the caller, which a reset needs.
	Ack uint32
}

const (
	// checkpointLayout is the version of the layout.
	checkpointLayout     = 1
	checkpointHeaderSize = 1 + 4
	checkpointFlowSize   = flowSize + 4
)

// Encode returns the checkpoint as bytes.
func (c *Checkpoint) Encode() []byte {
	b := make([]byte, 0, checkpointHeaderSize+len(c.Flows)*checkpointFlowSize)
	b = binary.LittleEndian.AppendUint32(append(b, checkpointLayout), c.Incarnation)
	for _, f := range c.Flows {
		b = binary.LittleEndian.AppendUint32(appendFlow(b, f.Flow), f.Ack)
	}
	return b
}

// ParseCheckpoint reads a checkpoint. The error has kind Malformed.
func ParseCheckpoint(b []byte) (Checkpoint, error) {
	if len(b) < checkpointHeaderSize || b[0] != checkpointLayout || (len(b)-checkpointHeaderSize)%checkpointFlowSize != 0 {
		return Checkpoint{}, errkind.New(errkind.Malformed, "checkpoint of %d bytes or of another layout", len(b))
	}
	c := Checkpoint{Incarnation: binary.LittleEndian.Uint32(b[1:])}
	for rest := b[checkpointHeaderSize:]; len(rest) > 0; rest = rest[checkpointFlowSize:] {
		c.Flows = append(c.Flows, CheckpointFlow{Flow: flowAt(rest), Ack: binary.LittleEndian.Uint32(rest[flowSize:])})
	}
	return c, nil
}
