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

// pipe returns a relay and both ends of a connection through it.
func pipe(t *testing.T) (r *relay.Relay, caller, target net.Conn) {
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

// arrives sends a byte and reports whether it arrives within a time.
func arrives(t *testing.T, from, to net.Conn, within time.Duration) bool {
	t.Helper()
	if _, err := from.Write([]byte{1}); err != nil {
		t.Fatal(err)
	}
	return comes(t, to, within)
}

func comes(t *testing.T, to net.Conn, within time.Duration) bool {
	t.Helper()
	_ = to.SetReadDeadline(time.Now().Add(within))
	_, err := to.Read(make([]byte, 1))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return err == nil
}

func TestRelay_Set(t *testing.T) {
	tests := []struct {
		desc             string
		fault            relay.Fault
		wantTo, wantFrom bool
	}{
		{"sound", relay.Fault{}, true, true},
		{"cut to the target", relay.Fault{CutTo: true}, false, true},
		{"cut from the target", relay.Fault{CutFrom: true}, true, false},
		{"silent", relay.Fault{CutTo: true, CutFrom: true}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			t.Parallel()
			r, caller, target := pipe(t)
			r.Set(tt.fault)
			if got := arrives(t, caller, target, 200*time.Millisecond); got != tt.wantTo {
				t.Errorf("to the target: got %v, want %v", got, tt.wantTo)
			}
			if got := arrives(t, target, caller, 200*time.Millisecond); got != tt.wantFrom {
				t.Errorf("from the target: got %v, want %v", got, tt.wantFrom)
			}
			r.Set(relay.Fault{})
			if !tt.wantTo && !comes(t, target, time.Second) {
				t.Error("bytes to the target did not arrive after the cut")
			}
			if !tt.wantFrom && !comes(t, caller, time.Second) {
				t.Error("bytes from the target did not arrive after the cut")
			}
		})
	}
}

func TestRelay_Set_delay(t *testing.T) {
	r, caller, target := pipe(t)
	const delay = 150 * time.Millisecond
	r.Set(relay.Fault{Delay: delay})
	sent := time.Now()
	if !arrives(t, caller, target, 2*time.Second) {
		t.Fatal("the byte did not arrive")
	}
	if took := time.Since(sent); took < delay {
		t.Errorf("got the byte after %s, want %s at least", took, delay)
	}
}

func TestRelay_Reset(t *testing.T) {
	r, caller, target := pipe(t)
	if !arrives(t, caller, target, time.Second) {
		t.Fatal("the byte did not arrive")
	}
	r.Reset()
	_ = caller.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := caller.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v, want a reset", err)
	}
}

// TestRelay_end checks that an end of one direction leaves the other one open.
func TestRelay_end(t *testing.T) {
	_, caller, target := pipe(t)
	if err := caller.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = target.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := target.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end", err)
	}
	if !arrives(t, target, caller, time.Second) {
		t.Error("got nothing from the target after the end of the other direction")
	}
}
