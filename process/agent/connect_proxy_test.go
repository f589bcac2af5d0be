package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"bergamotbank/process/settings"
	"bergamotbank/version/config"
)

// catalogueOnly allows connections to the service named "catalogue" only.
type catalogueOnly struct{}

func (catalogueOnly) dependency(name string) (config.Service, bool) {
	return config.Service{Name: name, Address: netip.MustParseAddr("198.18.0.20"), Port: 80}, name == "catalogue"
}

// echoDialer opens flows whose other end echoes the first five bytes.
type echoDialer struct{}

func (echoDialer) DialContext(context.Context, netip.AddrPort) (net.Conn, error) {
	proxyEnd, serviceEnd := net.Pipe()
	go func() {
		defer serviceEnd.Close()
		buffer := make([]byte, 5)
		if _, err := io.ReadFull(serviceEnd, buffer); err == nil {
			_, _ = serviceEnd.Write(buffer)
		}
	}()
	return proxyEnd, nil
}

// startProxy starts a CONNECT proxy that stops at the end of the test.
func startProxy(t *testing.T) *connectProxy {
	t.Helper()
	s := settings.Settings{Agent: settings.Agent{Calls: netip.MustParseAddrPort("127.0.0.1:0")}}
	proxy, err := newConnectProxy(s, catalogueOnly{}, echoDialer{}, zap.NewNop())
	convey.So(err, convey.ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- proxy.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return proxy
}

// sendRequest sends a request line to the proxy and returns the response, the
// connection and the reader for the data after the response.
func sendRequest(proxy *connectProxy, requestLine string) (*http.Response, net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", proxy.listener.Addr().String())
	convey.So(err, convey.ShouldBeNil)
	_, err = io.WriteString(conn, requestLine+"\r\nHost: x\r\n\r\n")
	convey.So(err, convey.ShouldBeNil)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	convey.So(err, convey.ShouldBeNil)
	return response, conn, reader
}

func TestConnectProxy(t *testing.T) {
	convey.Convey("A connection to a service in depends_on is tunnelled", t, func() {
		response, conn, reader := sendRequest(startProxy(t), "CONNECT catalogue:80 HTTP/1.1")
		defer conn.Close()
		convey.So(response.StatusCode, convey.ShouldEqual, http.StatusOK)
		_, err := io.WriteString(conn, "hello")
		convey.So(err, convey.ShouldBeNil)
		echoed, err := io.ReadAll(reader)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(echoed), convey.ShouldEqual, "hello")
	})
	refusals := []struct {
		name, line, kind string
		status           int
	}{
		{"another service", "CONNECT ordering:80 HTTP/1.1", "call_not_allowed", http.StatusForbidden},
		{"a target without a port", "CONNECT catalogue HTTP/1.1", "usage", http.StatusBadRequest},
		{"another method", "GET /x HTTP/1.1", "usage", http.StatusBadRequest},
	}
	for _, c := range refusals {
		convey.Convey("A request with "+c.name+" is refused", t, func() {
			response, conn, _ := sendRequest(startProxy(t), c.line)
			defer conn.Close()
			convey.So(response.StatusCode, convey.ShouldEqual, c.status)
			convey.So(response.Header.Get("Bergamot-Error"), convey.ShouldEqual, c.kind)
		})
	}
}
