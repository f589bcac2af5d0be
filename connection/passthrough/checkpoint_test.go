package passthrough

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
)

func TestCheckpointRoundTrip(t *testing.T) {
	convey.Convey("A decoded checkpoint equals the encoded one", t, func() {
		c := Checkpoint{Incarnation: 77, Flows: []CheckpointFlow{
			{Flow: Flow{Caller: MakeEndpoint(0x64400001, 40001), Service: MakeEndpoint(0xc6120001, 443)}, Ack: 1 << 31},
			{Flow: Flow{Caller: MakeEndpoint(0x64400002, 40002), Service: MakeEndpoint(0xc6120001, 80)}, Ack: 5},
		}}
		read, err := ParseCheckpoint(c.Encode())
		convey.So(err, convey.ShouldBeNil)
		convey.So(read, convey.ShouldResemble, c)
	})
	convey.Convey("Invalid checkpoints are rejected", t, func() {
		c := Checkpoint{Incarnation: 77, Flows: []CheckpointFlow{{Ack: 1}}}
		encoded := c.Encode()
		for _, b := range [][]byte{nil, encoded[:3], encoded[:len(encoded)-1], append([]byte{9}, encoded[1:]...)} {
			_, err := ParseCheckpoint(b)
			convey.So(errkind.Is(err, errkind.Malformed), convey.ShouldBeTrue)
		}
	})
}

func FuzzCheckpoint(f *testing.F) {
	c := Checkpoint{Incarnation: 1, Flows: []CheckpointFlow{{Ack: 1}}}
	f.Add(c.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		read, err := ParseCheckpoint(b)
		if err == nil && string(read.Encode()) != string(b) {
			t.Errorf("checkpoint %x is encoded as %x", b, read.Encode())
		}
	})
}
