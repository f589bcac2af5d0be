package membership

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "bergamotbank/process/membership/membershippb"
)

// fuzzTime is the virtual time of the fuzzed cores.
var fuzzTime = time.Unix(1_800_000_000, 0)

func fuzzNode() *nodeCore {
	addr := netip.MustParseAddrPort("127.0.0.1:7000")
	self := Peer{Name: "n1", Domain: "junin", Incarnation: 1, Packet: addr, Control: addr}
	core := newNodeCore(self, nil, Timing{}, rand.New(rand.NewPCG(1, 1)), fuzzTime)
	core.mergeRecord(fuzzTime, fuzzRecord(), statusAlive)
	return core
}

func fuzzRecord() Record {
	addr := netip.MustParseAddrPort("127.0.0.2:7000")
	return Record{
		Server: "s1", Incarnation: 1, Sequence: 1, Service: "ordering", Domain: "junin",
		Packet: addr, Control: addr, State: Warm, Weight: 100,
	}
}

// fuzzSeeds returns one datagram of each kind.
func fuzzSeeds() [][]byte {
	record := recordToWire(fuzzRecord(), statusAlive)
	self := Peer{
		Name: "n2", Domain: "pasco", Incarnation: 1,
		Packet: netip.MustParseAddrPort("127.0.0.3:1"), Control: netip.MustParseAddrPort("127.0.0.3:2"),
	}
	peer := peerToWire(self, statusAlive)
	envelopes := []*pb.Envelope{
		{Body: &pb.Envelope_Heartbeat{Heartbeat: &pb.Heartbeat{Incarnation: 1, Sequence: 1, Record: record}}},
		{Body: &pb.Envelope_HeartbeatReply{HeartbeatReply: &pb.HeartbeatReply{
			Server: serverNameHash("s1"), Homes: []*pb.Peer{peer}, RefuteIncarnation: 3,
		}}},
		{Body: &pb.Envelope_Ping{Ping: &pb.Ping{Nonce: 1, Self: peer}}},
		{Body: &pb.Envelope_Ack{Ack: &pb.Ack{Nonce: 1, Self: peer, State: 7}}},
		{Body: &pb.Envelope_PingRequest{PingRequest: &pb.PingRequest{Nonce: 1, Target: peer.Control}}},
		{Body: &pb.Envelope_Gossip{Gossip: &pb.Gossip{Records: []*pb.Record{record}, Peers: []*pb.Peer{peer}}}},
		{Body: &pb.Envelope_Digest{Digest: &pb.Digest{Domains: []*pb.DomainDigest{{Domain: "junin", Digest: 1}}}}},
		{Body: &pb.Envelope_Buckets{Buckets: &pb.Buckets{Domain: "junin", Digests: make([]uint32, bucketCount)}}},
		{Body: &pb.Envelope_Want{Want: &pb.Want{Domain: "junin", Buckets: []uint32{1, 300}}}},
		{Body: &pb.Envelope_Heard{Heard: &pb.Heard{Server: "s1", Incarnation: 1, Agent: peer.Control}}},
		{Body: &pb.Envelope_Silence{Silence: &pb.Silence{Servers: []*pb.SilentServer{{Server: "s1", Incarnation: 1}}}}},
	}
	var seeds [][]byte
	for _, envelope := range envelopes {
		envelope.Format = datagramFormat
		envelope.Sender = "s1"
		datagram, _ := proto.Marshal(envelope)
		seeds = append(seeds, datagram)
	}
	return seeds
}

// checkActions fails if a core sends a datagram that cannot be decoded or is
// larger than maxDatagram.
func checkActions(t *testing.T, actions []action) {
	for _, a := range actions {
		send, ok := a.(sendAction)
		if !ok {
			continue
		}
		datagram, err := encodeEnvelope(send.envelope)
		if err != nil || len(datagram) > maxDatagram {
			t.Fatalf("datagram of %d bytes: %v", len(datagram), err)
		}
		if _, err := decodeEnvelope(datagram); err != nil {
			t.Fatalf("sent datagram cannot be decoded: %v", err)
		}
	}
}

// FuzzNodeDatagram passes two arbitrary datagrams to a balancer.
func FuzzNodeDatagram(f *testing.F) {
	for _, seed := range fuzzSeeds() {
		f.Add(seed, seed)
	}
	from := netip.MustParseAddrPort("127.0.0.9:7000")
	f.Fuzz(func(t *testing.T, first, second []byte) {
		core := fuzzNode()
		for _, datagram := range [][]byte{first, second} {
			if envelope, err := decodeEnvelope(datagram); err == nil {
				core.handle(fuzzTime, from, envelope)
			}
			core.tick(fuzzTime.Add(time.Second))
			checkActions(t, core.takeActions())
		}
		checkRecords(t, core.currentView.Servers)
	})
}

// checkRecords fails if a view holds a record that does not survive encoding.
func checkRecords(t *testing.T, records []Record) {
	for _, r := range records {
		back, st, err := recordFromWire(wireRoundTrip(recordToWire(r, statusAlive)))
		if err != nil || st != statusAlive || back != r {
			t.Fatalf("record %+v is decoded as %+v: %v", r, back, err)
		}
	}
}

// FuzzAgentDatagram passes two arbitrary datagrams to an agent.
func FuzzAgentDatagram(f *testing.F) {
	for _, seed := range fuzzSeeds() {
		f.Add(seed, seed)
	}
	from := netip.MustParseAddrPort("127.0.0.9:7000")
	f.Fuzz(func(t *testing.T, first, second []byte) {
		core := newAgentCore(fuzzRecord(), []netip.AddrPort{from}, Timing{}, rand.New(rand.NewPCG(1, 1)), fuzzTime)
		for _, datagram := range [][]byte{first, second} {
			if envelope, err := decodeEnvelope(datagram); err == nil {
				core.handle(fuzzTime, from, envelope)
			}
			core.tick(fuzzTime.Add(time.Second))
			checkActions(t, core.takeActions())
		}
	})
}

// FuzzCallMessages decodes arbitrary call messages and processes them.
func FuzzCallMessages(f *testing.F) {
	page, _ := proto.Marshal(fuzzNode().page(""))
	f.Add(page)
	view, _ := proto.Marshal(&pb.FetchViewResponse{
		Ready: true, Replaced: allBuckets(), Records: []*pb.Record{recordToWire(fuzzRecord(), statusAlive)},
	})
	f.Add(view)
	f.Fuzz(func(t *testing.T, message []byte) {
		pull := &pb.PullResponse{}
		if proto.Unmarshal(message, pull) == nil {
			core := fuzzNode()
			core.mergePage(fuzzTime, pull)
			core.tick(fuzzTime)
			checkActions(t, core.takeActions())
			checkRecords(t, core.currentView.Servers)
		}
		fetch := &pb.FetchViewResponse{}
		if proto.Unmarshal(message, fetch) == nil {
			core := newAgentCore(fuzzRecord(), nil, Timing{}, rand.New(rand.NewPCG(1, 1)), fuzzTime)
			core.fetchDone(fuzzTime, fetch, nil)
			checkRecords(t, core.servers)
		}
		request := &pb.FetchViewRequest{}
		if proto.Unmarshal(message, request) == nil {
			fetchViewResponse(fuzzNode().currentView, true, request)
		}
	})
}

// FuzzDirectory decodes arbitrary JSON lists of a directory.
func FuzzDirectory(f *testing.F) {
	f.Add([]byte(`[{"name":"n1","incarnation":7,"packet":"127.0.0.1:1","control":"127.0.0.1:2"}]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		peers := decodeDirectory(value, "junin")
		again, err := encodeDirectory(peers)
		if err != nil {
			t.Fatal(err)
		}
		if back := decodeDirectory(again, "junin"); len(back) != len(peers) {
			t.Fatalf("%d of %d entries decoded", len(back), len(peers))
		}
	})
}
