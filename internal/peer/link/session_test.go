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
	closing time.Duration
}

func (c slowConn) Close() error {
	time.Sleep(c.closing)
	return c.Conn.Close()
}

// TestSession_closing checks that those who read from streams wait, and do not
// spin, while their session closes. With yamux v0.1.2 they did.
func TestSession_closing(t *testing.T) {
	const closing = 300 * time.Millisecond
	near, far := net.Pipe()
	server, err := yamux.Server(far, yamuxConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	client, err := yamux.Client(slowConn{near, closing}, yamuxConfig())
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
		t.Fatal("the reader still waits 5 s after its session closed")
	}
	if used := processorTime(t) - before; used > closing/3 {
		t.Errorf("got %s of processor time in %s, want next to none", used, closing)
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
