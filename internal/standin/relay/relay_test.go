package relay_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/standin/relay"
)

// connectThroughRelay returns a relay and both ends of a connection through it.
func connectThroughRelay(t *testing.T) (r *relay.Relay, caller, target net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	r, err = relay.New(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(l.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	if caller, err = net.Dial("tcp", r.Address().String()); err != nil {
		t.Fatal(err)
	}
	if target, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close(); _ = target.Close() })
	return r, caller, target
}

// sendAndReceive sends a byte and reports whether it arrives within a time.
func sendAndReceive(t *testing.T, from, to net.Conn, within time.Duration) bool {
	t.Helper()
	if _, err := from.Write([]byte{1}); err != nil {
		t.Fatal(err)
	}
	return receives(t, to, within)
}

// receives reports whether a byte arrives within a time.
func receives(t *testing.T, to net.Conn, within time.Duration) bool {
	t.Helper()
	_ = to.SetReadDeadline(time.Now().Add(within))
	_, err := to.Read(make([]byte, 1))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return err == nil
}

// TestRelay_Set checks that a partition holds back the bytes of its direction only, and
// that they arrive once it ends.
func TestRelay_Set(t *testing.T) {
	tests := []struct {
		desc             string
		fault            relay.Fault
		wantTo, wantFrom bool
	}{
		{"no fault", relay.Fault{}, true, true},
		{"cut to the target", relay.Fault{CutTo: true}, false, true},
		{"cut from the target", relay.Fault{CutFrom: true}, true, false},
		{"cut in both directions", relay.Fault{CutTo: true, CutFrom: true}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			t.Parallel()
			r, caller, target := connectThroughRelay(t)
			r.Set(tt.fault)
			if got := sendAndReceive(t, caller, target, 200*time.Millisecond); got != tt.wantTo {
				t.Errorf("to the target: got %v, want %v", got, tt.wantTo)
			}
			if got := sendAndReceive(t, target, caller, 200*time.Millisecond); got != tt.wantFrom {
				t.Errorf("from the target: got %v, want %v", got, tt.wantFrom)
			}
			r.Set(relay.Fault{})
			if !tt.wantTo && !receives(t, target, time.Second) {
				t.Error("bytes to the target did not arrive after the cut")
			}
			if !tt.wantFrom && !receives(t, caller, time.Second) {
				t.Error("bytes from the target did not arrive after the cut")
			}
		})
	}
}

// TestRelay_Set_delay checks that a byte arrives no earlier than the delay.
func TestRelay_Set_delay(t *testing.T) {
	r, caller, target := connectThroughRelay(t)
	const delay = 150 * time.Millisecond
	r.Set(relay.Fault{Delay: delay})
	sent := time.Now()
	if !sendAndReceive(t, caller, target, 2*time.Second) {
		t.Fatal("the byte did not arrive")
	}
	if took := time.Since(sent); took < delay {
		t.Errorf("got the byte after %s, want at least %s", took, delay)
	}
}

// TestRelay_Reset checks that the caller gets ECONNRESET.
func TestRelay_Reset(t *testing.T) {
	r, caller, target := connectThroughRelay(t)
	if !sendAndReceive(t, caller, target, time.Second) {
		t.Fatal("the byte did not arrive")
	}
	r.Reset()
	_ = caller.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := caller.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v, want a reset", err)
	}
}

// TestRelay_closedTarget checks that bytes which are under way when their sender closes its
// connection arrive, although the caller goes on sending.
func TestRelay_closedTarget(t *testing.T) {
	r, caller, target := connectThroughRelay(t)
	r.Set(relay.Fault{CutFrom: true})
	if _, err := target.Write([]byte{1}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	_ = target.Close()
	for range 3 {
		_, _ = caller.Write([]byte{1})
		time.Sleep(50 * time.Millisecond)
	}
	r.Set(relay.Fault{})
	if !receives(t, caller, time.Second) {
		t.Error("the byte that was under way did not arrive")
	}
}

// TestRelay_LimitBuffers checks that a cut blocks a sender once the limited buffers are full.
func TestRelay_LimitBuffers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	r, err := relay.New(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(l.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	r.LimitBuffers(4 << 10)
	r.Set(relay.Fault{CutTo: true})
	conn, err := net.Dial("tcp", r.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
	_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	if n, err := conn.Write(make([]byte, 1<<20)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %d bytes written and %v, want a blocked write", n, err)
	}
}

// TestRelay_halfClose checks that the end of one direction leaves the other one open.
func TestRelay_halfClose(t *testing.T) {
	_, caller, target := connectThroughRelay(t)
	if err := caller.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = target.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := target.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end", err)
	}
	if !sendAndReceive(t, target, caller, time.Second) {
		t.Error("got nothing from the target after the end of the other direction")
	}
}

// TestRelay_Set_bandwidth checks that connections share the bandwidth of a direction.
func TestRelay_Set_bandwidth(t *testing.T) {
	r, caller, target := connectThroughRelay(t)
	const size, bandwidth = 100_000, 400_000
	r.Set(relay.Fault{Bandwidth: bandwidth})
	sent := time.Now()
	go func() { _, _ = caller.Write(make([]byte, size)) }()
	if _, err := io.ReadFull(target, make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	if got, want := time.Since(sent), time.Second*size/bandwidth; got < want {
		t.Errorf("got %d bytes in %s, want at least %s", size, got, want)
	}
}
