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

// oneService allows calls to the service named "catalogue" only.
type oneService struct{}

func (oneService) callable(name string) (config.Service, bool) {
	return config.Service{Name: name, Address: netip.MustParseAddr("198.18.0.20"), Port: 80}, name == "catalogue"
}

// echoDialer answers each flow with what it sends.
type echoDialer struct{}

func (echoDialer) DialContext(context.Context, netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		buffer := make([]byte, 5)
		if _, err := io.ReadFull(far, buffer); err == nil {
			_, _ = far.Write(buffer)
		}
	}()
	return near, nil
}

// openCalls starts a proxy for calls that ends with the test.
func openCalls(t *testing.T) *calls {
	t.Helper()
	s := settings.Settings{Agent: settings.Agent{Calls: netip.MustParseAddrPort("127.0.0.1:0")}}
	c, err := newCalls(s, oneService{}, echoDialer{}, zap.NewNop())
	convey.So(err, convey.ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

// connect sends a request line to the proxy and returns the answer with the
// connection.
func connect(c *calls, requestLine string) (*http.Response, net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", c.listener.Addr().String())
	convey.So(err, convey.ShouldBeNil)
	_, err = io.WriteString(conn, requestLine+"\r\nHost: x\r\n\r\n")
	convey.So(err, convey.ShouldBeNil)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	convey.So(err, convey.ShouldBeNil)
	return response, conn, reader
}

func TestCalls(t *testing.T) {
	convey.Convey("A call to a service in depends_on is tunnelled", t, func() {
		response, conn, reader := connect(openCalls(t), "CONNECT catalogue:80 HTTP/1.1")
		defer conn.Close()
		convey.So(response.StatusCode, convey.ShouldEqual, http.StatusOK)
		_, err := io.WriteString(conn, "hello")
		convey.So(err, convey.ShouldBeNil)
		answer, err := io.ReadAll(reader)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(answer), convey.ShouldEqual, "hello")
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
		convey.Convey("A call with "+c.name+" is refused", t, func() {
			response, conn, _ := connect(openCalls(t), c.line)
			defer conn.Close()
			convey.So(response.StatusCode, convey.ShouldEqual, c.status)
			convey.So(response.Header.Get("Bergamot-Error"), convey.ShouldEqual, c.kind)
		})
	}
}
