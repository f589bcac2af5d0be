package membership

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	pb "bergamotbank/process/membership/membershippb"
)

const (
	// callTimeout is the timeout of one call to another process.
	callTimeout = 2 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 10 * time.Second
)

// newHTTPClient returns the client for calls to other processes. Each phase of
// a call has a deadline, so that an unresponsive connection is replaced.
func newHTTPClient() *http.Client {
	dialer := net.Dialer{Timeout: callTimeout, KeepAlive: idleTimeout}
	return &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			DialContext:           dialer.DialContext,
			ResponseHeaderTimeout: callTimeout,
			IdleConnTimeout:       idleTimeout,
			MaxIdleConnsPerHost:   1,
		},
	}
}

// newMembershipClient returns the twirp client of a balancer.
func newMembershipClient(client *http.Client, addr netip.AddrPort) pb.Membership {
	return pb.NewMembershipProtobufClient("http://"+addr.String(), client)
}
