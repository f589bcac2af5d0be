package membership

// Protocol versions that this build supports.
const (
	MinProtocol uint8 = 1
	MaxProtocol uint8 = 1
)

// AgreeProtocol returns the highest protocol version that both ranges contain.
// It returns false if the ranges have no version in common.
func AgreeProtocol(minA, maxA, minB, maxB uint8) (uint8, bool) {
	highest := min(maxA, maxB)
	lowest := max(minA, minB)
	return highest, lowest <= highest
}
