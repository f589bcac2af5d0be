package routes

// Revision identifies a state of the configuration. The store assigns it.
type Revision struct {
	// Era counts the restorations of the store from an older copy. A restored store assigns
	// the indexes after that of the copy a second time.
	Era uint64 `json:"Era,omitempty"`
	// Index increases with each change of the store within an era.
	Index uint64 `json:"Revision"`
}

// Newer reports whether the store assigned r after other.
func (r Revision) Newer(other Revision) bool {
	if r.Era != other.Era {
		return r.Era > other.Era
	}
	return r.Index > other.Index
}

// IsZero reports whether r identifies no state.
func (r Revision) IsZero() bool { return r == Revision{} }

// WireRevision is the encoding of a Revision in 64 bits: the lower 16 bits of the era, then the
// lower 48 bits of the index. The era is compared with wraparound.
type WireRevision uint64

const (
	indexBits = 48
	indexMask = 1<<indexBits - 1
)

// Wire returns the encoding of r.
func (r Revision) Wire() WireRevision {
	return WireRevision(r.Era<<indexBits | r.Index&indexMask)
}

// Era returns the lower 16 bits of the era.
func (w WireRevision) Era() uint16 { return uint16(w >> indexBits) }

// Index returns the index.
func (w WireRevision) Index() uint64 { return uint64(w & indexMask) }

// Newer reports whether the store assigned w after other.
func (w WireRevision) Newer(other WireRevision) bool {
	if w.Era() != other.Era() {
		return eraDistance(w.Era(), other.Era()) > 0
	}
	return w.Index() > other.Index()
}

// eraDistance returns the number of eras from b to a, negative if a is the earlier one.
func eraDistance(a, b uint16) int16 { return int16(a - b) }

// NearestEra returns the era with the given lower 16 bits that is nearest to a known one.
func NearestEra(low uint16, known uint64) uint64 {
	return known + uint64(int64(eraDistance(low, uint16(known))))
}
