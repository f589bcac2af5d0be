package membership

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
)

// fakeKV is an in-memory key-value service that counts writes.
type fakeKV struct {
	mu     sync.Mutex
	values map[string][]byte
	index  map[string]uint64
	last   uint64
	writes int
	down   bool
	// beforeSwap is called before each write, without the lock held.
	beforeSwap func()
}

func newFakeKV() *fakeKV {
	return &fakeKV{values: make(map[string][]byte), index: make(map[string]uint64)}
}

func (kv *fakeKV) Get(_ context.Context, key string) ([]byte, uint64, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if kv.down {
		return nil, 0, errkind.New(errkind.StoreUnavailable, "store is down")
	}
	return kv.values[key], kv.index[key], nil
}

func (kv *fakeKV) CompareAndSwap(_ context.Context, key string, value []byte, index uint64) (bool, error) {
	if kv.beforeSwap != nil {
		kv.beforeSwap()
	}
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if kv.down {
		return false, errkind.New(errkind.StoreUnavailable, "store is down")
	}
	if kv.index[key] != index {
		return false, nil
	}
	kv.writes++
	kv.last++
	kv.values[key] = value
	kv.index[key] = kv.last
	return true, nil
}

func directoryPeer(i int) Peer {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 7000)
	return Peer{Name: fmt.Sprintf("n%d", i), Domain: "junin", Incarnation: 1, Packet: addr, Control: addr}
}

func names(peers []Peer) string {
	var all []string
	for _, p := range peers {
		all = append(all, p.Name)
	}
	return strings.Join(all, " ")
}

func TestDirectory(t *testing.T) {
	ctx := context.Background()
	convey.Convey("Given an empty directory", t, func() {
		kv := newFakeKV()
		directory := NewDirectory(kv)
		read := func() string {
			peers, err := directory.Read(ctx, "junin")
			convey.So(err, convey.ShouldBeNil)
			return names(peers)
		}
		convey.So(read(), convey.ShouldEqual, "")
		convey.Convey("joining again writes nothing", func() {
			for range 3 {
				convey.So(directory.Join(ctx, directoryPeer(1)), convey.ShouldBeNil)
			}
			convey.So(read(), convey.ShouldEqual, "n1")
			convey.So(kv.writes, convey.ShouldEqual, 1)
		})
		convey.Convey("a balancer at the address of another one replaces its entry", func() {
			convey.So(directory.Join(ctx, directoryPeer(1)), convey.ShouldBeNil)
			replacement := directoryPeer(1)
			replacement.Name = "n9"
			convey.So(directory.Join(ctx, replacement), convey.ShouldBeNil)
			convey.So(read(), convey.ShouldEqual, "n9")
		})
		convey.Convey("the list is bounded, and removed entries free their slots", func() {
			for i := 1; i <= 20; i++ {
				convey.So(directory.Join(ctx, directoryPeer(i)), convey.ShouldBeNil)
			}
			convey.So(read(), convey.ShouldEqual, "n1 n2 n3 n4 n5 n6 n7 n8")
			convey.So(kv.writes, convey.ShouldEqual, 8)
			convey.So(directory.Repair(ctx, "junin", func(p Peer) bool { return p.Name > "n4" }), convey.ShouldBeNil)
			convey.So(directory.Join(ctx, directoryPeer(20)), convey.ShouldBeNil)
			convey.So(directory.Leave(ctx, directoryPeer(5)), convey.ShouldBeNil)
			convey.So(read(), convey.ShouldEqual, "n6 n7 n8 n20")
		})
		convey.Convey("a conflicting write is retried and both entries are kept", func() {
			raced := false
			kv.beforeSwap = func() {
				if !raced {
					raced = true
					convey.So(NewDirectory(kv).Join(ctx, directoryPeer(2)), convey.ShouldBeNil)
				}
			}
			convey.So(directory.Join(ctx, directoryPeer(1)), convey.ShouldBeNil)
			convey.So(read(), convey.ShouldEqual, "n2 n1")
		})
		convey.Convey("an invalid list is replaced", func() {
			kv.values["directory/junin"] = []byte("no JSON")
			kv.index["directory/junin"] = 1
			kv.last = 1
			convey.So(directory.Join(ctx, directoryPeer(1)), convey.ShouldBeNil)
			convey.So(read(), convey.ShouldEqual, "n1")
		})
		convey.Convey("an unavailable store is reported as an error", func() {
			kv.down = true
			convey.So(errkind.Is(directory.Join(ctx, directoryPeer(1)), errkind.StoreUnavailable), convey.ShouldBeTrue)
		})
	})
}

func TestDiscoveryThroughDirectory(t *testing.T) {
	convey.Convey("Balancers and an agent without seeds discover each other through the directory", t, func() {
		directory := NewDirectory(newFakeKV())
		n1, _ := startNodeWith(t, "n1", "junin", directory)
		convey.So(eventually(n1.Ready), convey.ShouldBeTrue)
		n2, stopN2 := startNodeWith(t, "n2", "pasco", directory)
		agent, _ := startAnnouncerWith(t, "s1", "junin", directory)
		convey.So(eventually(func() bool {
			return n2.Ready() && len(n1.View().Servers) == 1 && len(n2.View().Servers) == 1 && agent.Ready()
		}), convey.ShouldBeTrue)
		convey.Convey("and a balancer that stops is removed from the list", func() {
			convey.So(eventually(func() bool {
				peers, _ := directory.Read(context.Background(), "junin")
				return names(peers) == "n1"
			}), convey.ShouldBeTrue)
			stopN2()
			peers, err := directory.Read(context.Background(), "pasco")
			convey.So(err, convey.ShouldBeNil)
			convey.So(names(peers), convey.ShouldEqual, "")
		})
	})
}

func TestConcurrentStartInOneDomain(t *testing.T) {
	convey.Convey("The first two balancers of a failure domain discover each other before the next check", t, func() {
		directory := NewDirectory(newFakeKV())
		n1, _ := startNodeWith(t, "n1", "junin", directory)
		n2, _ := startNodeWith(t, "n2", "junin", directory)
		convey.So(eventually(func() bool {
			return n1.Ready() && n2.Ready() && len(n1.View().Peers) == 1 && len(n2.View().Peers) == 1
		}), convey.ShouldBeTrue)
	})
}
