package membership

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// announcement is one input of a merge.
type announcement struct {
	record Record
	status status
}

func drawAnnouncement(t *rapid.T) announcement {
	return announcement{
		record: Record{
			Server:      fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(t, "server")),
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			Sequence:    rapid.Uint64Range(0, 2).Draw(t, "sequence"),
			Service:     rapid.SampledFrom([]string{"ordering", "catalogue"}).Draw(t, "service"),
			Domain:      rapid.SampledFrom([]string{"junin", "pasco"}).Draw(t, "domain"),
			Packet:      netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(rapid.IntRange(1, 3).Draw(t, "packet"))),
			Control:     netip.MustParseAddrPort("127.0.0.1:9"),
			State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
			Weight:      uint16(rapid.IntRange(0, 1).Draw(t, "weight")),
		},
		status: rapid.SampledFrom([]status{statusAlive, statusSilent, statusGone}).Draw(t, "status"),
	}
}

// referenceView computes the view from the set of all announcements, without
// state: the newest record of each server if it is alive, except those at whose
// packet address another one has a higher incarnation.
func referenceView(all []announcement) []Record {
	var alive []Record
	for _, server := range []string{"s0", "s1", "s2", "s3"} {
		if newest, ok := newestOf(all, server); ok && newest.status == statusAlive {
			alive = append(alive, newest.record)
		}
	}
	return slices.DeleteFunc(slices.Clone(alive), func(r Record) bool {
		return slices.ContainsFunc(alive, func(other Record) bool {
			return other.Packet == r.Packet && other.Incarnation > r.Incarnation
		})
	})
}

func newestOf(all []announcement, server string) (newest announcement, found bool) {
	for _, a := range all {
		if a.record.Server != server {
			continue
		}
		e := serverEntry{record: &newest.record, status: newest.status}
		if !found || e.compare(a.record, a.status) < 0 {
			newest, found = a, true
		}
	}
	return newest, found
}

func merged(all []announcement) *state {
	s := newState()
	for _, a := range all {
		s.mergeServer(a.record, a.status, time.Unix(0, 0))
	}
	return s
}

func TestMergeMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(drawAnnouncement), 0, 25).Draw(t, "announcements")
		// The reference model does not order servers of the same incarnation, so
		// different servers get different incarnations.
		for i := range all {
			all[i].record.Incarnation = all[i].record.Incarnation*10 + uint64(all[i].record.Server[1]-'0')
		}
		s := merged(all)
		view, digests := s.view(Peer{})
		if want := serviceDigests(view.Servers); !maps.Equal(digests, want) {
			t.Fatalf("digests %v, want %v", digests, want)
		}
		if got, want := view.Servers, referenceView(all); !slices.Equal(got, want) {
			t.Fatalf("view is %v, want %v", got, want)
		}
	})
}

func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(drawAnnouncement), 0, 15).Draw(t, "announcements")
		order := rapid.Permutation(all).Draw(t, "order")
		repeated := append(slices.Clone(order), rapid.Permutation(all).Draw(t, "repeats")...)
		want := describe(merged(all))
		if got := describe(merged(repeated)); got != want {
			t.Fatalf("state is\n%s\nwant\n%s", got, want)
		}
	})
}

// describe formats the state and its digest in a fixed order.
func describe(s *state) string {
	var lines []string
	for _, e := range s.servers {
		lines = append(lines, fmt.Sprintf("%+v %d live=%v", *e.record, e.status, s.live(e)))
	}
	slices.Sort(lines)
	return fmt.Sprintf("%s\ntotal %x", strings.Join(lines, "\n"), s.total())
}

func TestDigestsMatchState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(drawAnnouncement), 0, 15).Draw(t, "announcements")
		s := merged(all)
		fresh := newState()
		for _, e := range s.servers {
			fresh.mergeServer(*e.record, e.status, time.Unix(0, 0))
		}
		if s.total() != fresh.total() {
			t.Fatalf("incremental digest is %x, recomputed digest is %x", s.total(), fresh.total())
		}
		for _, e := range s.servers {
			s.removeServer(e)
		}
		if s.total() != 0 || len(s.byAddr) != 0 || s.sharedAddrs != 0 {
			t.Fatalf("digest of the empty state is %x", s.total())
		}
	})
}

func TestDeltaRestoresView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := func(label string) []Record {
			view, _ := merged(rapid.SliceOfN(rapid.Custom(drawAnnouncement), 0, 15).Draw(t, label)).view(Peer{})
			return view.Servers
		}
		cached, current := view("held"), view("current")
		replaced, delta := viewDelta(current, viewBuckets(cached))
		got := applyDelta(cached, replaced, delta)
		slices.SortFunc(got, func(a, b Record) int { return strings.Compare(a.Server, b.Server) })
		same := func(a, b Record) bool { return recordDigest(a) == recordDigest(b) }
		if !slices.EqualFunc(got, current, same) {
			t.Fatalf("view is %v, want %v", got, current)
		}
	})
}

func TestAgreeProtocol(t *testing.T) {
	cases := []struct {
		minA, maxA, minB, maxB, want uint8
		ok                           bool
	}{
		{1, 1, 1, 1, 1, true},
		{1, 3, 2, 5, 3, true},
		{2, 5, 1, 3, 3, true},
		{1, 2, 3, 4, 0, false},
		{3, 4, 1, 2, 0, false},
	}
	convey.Convey("Both sides agree on the highest common version", t, func() {
		for _, c := range cases {
			got, ok := AgreeProtocol(c.minA, c.maxA, c.minB, c.maxB)
			convey.So(ok, convey.ShouldEqual, c.ok)
			if ok {
				convey.So(got, convey.ShouldEqual, c.want)
			}
		}
	})
}
