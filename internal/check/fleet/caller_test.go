package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/standin/control"
	"filbertturn.example/filbertturn/internal/standin/fault"
)

// TestCaller_malformed sends malformed and stalled requests. Each must get one of
// the listed statuses or a closed connection within 10 s, and the node must keep
// serving.
func TestCaller_malformed(t *testing.T) {
	f := startFleet(t)
	authorization := "Authorization: Bearer " + secret + "\r\n"
	tests := []struct {
		desc string
		text string
		want []int // Statuses; none stands for a closed connection.
	}{
		{desc: "no HTTP", text: "hello\r\n\r\n", want: []int{400}},
		{desc: "header too large", text: "GET /booking/a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 1<<17) + "\r\n\r\n", want: []int{431}},
		{desc: "two lengths", text: "POST /booking/a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", want: []int{400}},
		{desc: "length and chunks", text: "POST /booking/a HTTP/1.1\r\nHost: h\r\n" + authorization + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", want: []int{200, 400}},
		{desc: "absolute target", text: "GET http://other/booking/a HTTP/1.1\r\nHost: h\r\n" + authorization + "\r\n", want: []int{400}},
		{desc: "stalled header", text: "GET /booking/a HTTP/1.1\r\nHost:"},
		{desc: "stalled body", text: "POST /booking/a HTTP/1.1\r\nHost: h\r\n" + authorization + "Content-Length: 100\r\n\r\nten bytes.", want: []int{400, 504}},
		{desc: "stalled chunk", text: "POST /booking/a HTTP/1.1\r\nHost: h\r\n" + authorization + "Transfer-Encoding: chunked\r\n\r\n64\r\nten", want: []int{400, 504}},
		{desc: "body without end", text: "POST /booking/a HTTP/1.1\r\nHost: h\r\n" + authorization + "Request-Timeout: 500ms\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("5\r\nabcde\r\n", 1000), want: []int{400, 504}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", f.Callers[0].String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = io.WriteString(conn, tt.text)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				if len(tt.want) > 0 || strings.Contains(err.Error(), "timeout") {
					t.Errorf("got %v, want one of %v", err, tt.want)
				}
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if got := fmt.Sprint(resp.StatusCode); !strings.Contains(fmt.Sprint(tt.want), got) {
				t.Errorf("got status %s, want one of %v", got, tt.want)
			}
		})
	}
	t.Cleanup(func() {
		if r := f.send(0, http.MethodGet); r.status != http.StatusOK {
			t.Errorf("got %+v after malformed requests", r)
		}
	})
}

// TestNode_stoppedTwice sends SIGTERM twice while a request hangs on a backend
// server. The second signal must end the node without waiting for the request.
func TestNode_stoppedTwice(t *testing.T) {
	f := startFleet(t)
	for _, b := range f.BackendServers {
		if err := new(control.Client).Set(context.Background(), b, fault.Setting{Mode: fault.Hang}); err != nil {
			t.Fatal(err)
		}
	}
	answer := make(chan result, 1)
	go func() { answer <- f.send(0, http.MethodPost) }()
	time.Sleep(200 * time.Millisecond)
	for range 2 {
		if err := f.Node(0).Terminate(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	select {
	case <-f.Node(0).Done():
	case <-time.After(2 * time.Second):
		t.Error("the node still runs 2 s after the second signal")
	}
	if r := <-answer; r.status == http.StatusOK {
		t.Errorf("got %+v from a backend server that hangs", r)
	}
}
