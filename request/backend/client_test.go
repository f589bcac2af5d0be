package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
)

// closingServer responds to the first request on each connection and closes the
// connection after reading the second. It counts the requests read.
func closingServer(t *testing.T) (address string, read *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	read = new(atomic.Int64)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for number := 1; number <= 2; number++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					read.Add(1)
					if number == 1 {
						fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					}
				}
			}()
		}
	}()
	return l.Addr().String(), read
}

func keyedPost(t *testing.T, address string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/orders", strings.NewReader("tags"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "k")
	return req
}

func TestKeyedPostIsSentOnce(t *testing.T) {
	convey.Convey("http.Transport retries a keyed POST if the server closes a reused connection", t, func() {
		address, read := closingServer(t)
		client := &http.Client{Transport: &http.Transport{}}
		for range 2 {
			resp, err := client.Do(keyedPost(t, address))
			convey.So(err, convey.ShouldBeNil)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		convey.So(read.Load(), convey.ShouldEqual, 3)
	})
	convey.Convey("Client sends each request once", t, func() {
		address, read := closingServer(t)
		client := NewClient(address)
		for range 2 {
			x, err := client.Do(context.Background(), keyedPost(t, address), func() bool { return true })
			convey.So(err, convey.ShouldBeNil)
			_, _ = io.Copy(io.Discard, x.Response.Body)
			x.Close()
		}
		convey.So(read.Load(), convey.ShouldEqual, 2)
	})
}

func TestFirstByte(t *testing.T) {
	convey.Convey("Nothing is sent if onSend returns false", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer l.Close()
		received := make(chan []byte, 1)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			text, _ := io.ReadAll(conn)
			received <- text
		}()
		client := NewClient(l.Addr().String())
		_, err = client.Do(context.Background(), keyedPost(t, l.Addr().String()), func() bool { return false })
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.BackendFailed)
		convey.So(string(<-received), convey.ShouldEqual, "")
	})
	convey.Convey("onSend is not called without a connection", t, func() {
		client := NewClient("127.0.0.1:1")
		sent := false
		_, err := client.Do(context.Background(), keyedPost(t, "x"), func() bool {
			sent = true
			return true
		})
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.BackendUnavailable)
		convey.So(sent, convey.ShouldBeFalse)
	})
	convey.Convey("Do returns when its context is done", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer l.Close()
		client := NewClient(l.Addr().String())
		timeoutCtx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err = client.Do(timeoutCtx, keyedPost(t, "x"), func() bool { return true })
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.BackendTimeout)
		canceled, cancelRequest := context.WithCancel(context.Background())
		_, err = client.Do(canceled, keyedPost(t, "x"), func() bool {
			cancelRequest()
			return true
		})
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.Canceled)
	})
}

func TestInformationalResponses(t *testing.T) {
	convey.Convey("A bounded number of responses with status 1xx is skipped", t, func() {
		for _, c := range []struct {
			informational int
			status        int
		}{{0, 200}, {2, 200}, {50, 0}} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			convey.So(err, convey.ShouldBeNil)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				fmt.Fprint(conn, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", c.informational))
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				_, _ = io.ReadAll(conn)
			}()
			x, err := NewClient(l.Addr().String()).Do(context.Background(), keyedPost(t, "x"), func() bool { return true })
			if c.status == 0 {
				convey.So(errkind.Of(err), convey.ShouldEqual, errkind.BackendFailed)
			} else {
				convey.So(err, convey.ShouldBeNil)
				convey.So(x.Response.StatusCode, convey.ShouldEqual, c.status)
				x.Close()
			}
			_ = l.Close()
		}
	})
}
