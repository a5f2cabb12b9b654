package link

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
)

// slowConn is a connection that takes some time to close.
type slowConn struct {
	net.Conn
	closeDelay time.Duration
}

func (c slowConn) Close() error {
	time.Sleep(c.closeDelay)
	return c.Conn.Close()
}

// TestSession_closing guards against a Read on a stream that spins while its session
// closes, as it did with yamux v0.1.2.
func TestSession_closing(t *testing.T) {
	const closeDelay = 300 * time.Millisecond
	clientConn, serverConn := net.Pipe()
	server, err := yamux.Server(serverConn, yamuxConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	client, err := yamux.Client(slowConn{clientConn, closeDelay}, yamuxConfig())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	stream, err := client.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_, err := stream.Read(make([]byte, 1))
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	before := processorTime(t)
	_ = client.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the reader still blocks 5 s after its session was closed")
	}
	if used := processorTime(t) - before; used > closeDelay/3 {
		t.Errorf("got %s of processor time in %s, want at most a third of it", used, closeDelay)
	}
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
