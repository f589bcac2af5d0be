package timeline

import (
	"google.golang.org/protobuf/proto"

	pb "bergamotbank/process/timeline/timelinepb"
)

// DecodeEntries returns the entries of an encoded response, or nil if it is malformed.
func DecodeEntries(message []byte) []Entry {
	response := &pb.QueryResponse{}
	if proto.Unmarshal(message, response) != nil {
		return nil
	}
	var entries []Entry
	for _, m := range response.Entries {
		entries = append(entries, entryFromWire(m))
	}
	return entries
}

// Entries returns the entries of a ring.
func (r *Ring) Entries() []Entry {
	return r.query(Filter{}, 0).entries
}
