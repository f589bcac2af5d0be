package passthrough

import "bergamotbank/errkind"

const (
	viewRequestSize = 1 + endpointSize
	viewHeaderSize  = 1 + endpointSize + 2
	// MaxViewAgents is the maximum number of agents in a datagram of kind View, so that it is
	// at most 1,200 bytes long.
	MaxViewAgents = (1200 - viewHeaderSize) / endpointSize
)

// ViewData is a datagram of kind View, which lists agents that its sender knows.
type ViewData struct {
	// Sender is the peer address of the sender.
	Sender Endpoint
	// Part is the index of the datagram among the Parts datagrams of the view.
	Part, Parts int
	// Agents are the peer addresses of the agents.
	Agents []Endpoint
}

// AppendViewRequest appends a datagram of kind ViewRequest, which is answered to the requester.
func AppendViewRequest(b []byte, requester Endpoint) []byte {
	return appendEndpoint(append(b, byte(ViewRequest)), requester)
}

// ParseViewRequest decodes a datagram of kind ViewRequest. The error has kind Malformed.
func ParseViewRequest(b []byte) (requester Endpoint, err error) {
	if len(b) != viewRequestSize {
		return 0, errInvalidLength
	}
	return endpointAt(b[1:]), nil
}

// AppendView appends a datagram of kind View with at most MaxViewAgents agents.
func AppendView(b []byte, view ViewData) []byte {
	b = appendEndpoint(append(b, byte(View)), view.Sender)
	b = append(b, byte(view.Part), byte(view.Parts))
	for _, agent := range view.Agents {
		b = appendEndpoint(b, agent)
	}
	return b
}

// ParseView decodes a datagram of kind View. The error has kind Malformed.
func ParseView(b []byte) (ViewData, error) {
	if len(b) < viewHeaderSize || (len(b)-viewHeaderSize)%endpointSize != 0 {
		return ViewData{}, errInvalidLength
	}
	view := ViewData{Sender: endpointAt(b[1:]), Part: int(b[1+endpointSize]), Parts: int(b[2+endpointSize])}
	if view.Part >= view.Parts {
		return ViewData{}, errkind.New(errkind.Malformed, "view has part %d of %d", view.Part, view.Parts)
	}
	for rest := b[viewHeaderSize:]; len(rest) > 0; rest = rest[endpointSize:] {
		view.Agents = append(view.Agents, endpointAt(rest))
	}
	return view, nil
}
