package retrybudget

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/check/odd"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/retrylimit"
)

func newHome() *Budget {
	return &Budget{
		Homes: func() []netip.AddrPort { return nil }, Log: zerolog.New(io.Discard),
		Limits: func() retrylimit.Limits {
			return retrylimit.Limits{Ratio: 0.2, Reserve: 60, Window: 10 * time.Second, Nodes: 1, Pooled: 0.5}
		},
	}
}

func (b *Budget) serviceCount() int {
	n := 0
	for i := range b.shards {
		n += len(b.shards[i].services)
	}
	return n
}

// TestBudget_Answer_odd guards against names of services that fill the memory of their home.
func TestBudget_Answer_odd(t *testing.T) {
	b := newHome()
	for _, service := range []string{"", odd.Megabyte()} {
		payload, _ := proto.Marshal(&peerpb.RepeatRequest{Service: service})
		if _, err := b.Answer(time.Now(), payload); err == nil {
			t.Errorf("%.10q: got no error", service)
		}
	}
	if _, err := b.Answer(time.Now(), []byte("\xff")); err == nil {
		t.Error("got no error of what is no message")
	}
	for i := range 100_000 {
		payload, _ := proto.Marshal(&peerpb.RepeatRequest{Service: fmt.Sprint(i)})
		if _, err := b.Answer(time.Now(), payload); err != nil {
			t.Fatal(err)
		}
	}
	if got := b.serviceCount(); got > maxServicesPerShard*shardCount {
		t.Errorf("got %d services, want %d at most", got, maxServicesPerShard*shardCount)
	}
}

func FuzzBudget_Answer(f *testing.F) {
	good, _ := proto.Marshal(&peerpb.RepeatRequest{Service: "s"})
	f.Add(good)
	b := newHome()
	f.Fuzz(func(t *testing.T, payload []byte) {
		reply, err := b.Answer(time.Now(), payload)
		if err == nil && proto.Unmarshal(reply, new(peerpb.RepeatGrant)) != nil {
			t.Errorf("%q: got the reply %q", payload, reply)
		}
	})
}

// rawPeer replies to all questions with the same bytes.
type rawPeer struct {
	reply []byte
	asked atomic.Int64
}

func (p *rawPeer) Answer(context.Context, uint32, []byte) ([]byte, error) {
	p.asked.Add(1)
	return p.reply, nil
}

func (p *rawPeer) Serve(context.Context, *peerpb.RequestHead, *link.Stream) {}

// FuzzBudget_requestGrant checks that no reply of a home that cannot be decoded grants a retry.
func FuzzBudget_requestGrant(f *testing.F) {
	good, _ := proto.Marshal(&peerpb.RepeatGrant{Granted: true})
	f.Add(good)
	f.Add([]byte("\xff"))
	home := &rawPeer{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	server, client := link.New(nil, nil, home), link.New(nil, nil, nil)
	go server.Serve(l)
	f.Cleanup(func() { _ = l.Close(); client.Close(); server.Close() })
	f.Fuzz(func(t *testing.T, reply []byte) {
		home.reply = reply
		b := newHome()
		b.Mesh = client
		var g peerpb.RepeatGrant
		decodable := proto.Unmarshal(reply, &g) == nil
		if _, got := b.requestGrant(t.Context(), netip.MustParseAddrPort(l.Addr().String()), retrylimit.Need{Service: "s", Cost: 1}); got && (!decodable || !g.GetGranted()) {
			t.Errorf("%q: got a retry granted", reply)
		}
	})
}

// TestBudget_requestGrant_olderHome checks that a home of an older release, which counts one retry for each question, is
// asked as often as the cost needs.
func TestBudget_requestGrant_olderHome(t *testing.T) {
	reply, _ := proto.Marshal(&peerpb.RepeatGrant{Granted: true})
	home := &rawPeer{reply: reply}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, client := link.New(nil, nil, home), link.New(nil, nil, nil)
	go server.Serve(l)
	t.Cleanup(func() { _ = l.Close(); client.Close(); server.Close() })
	b := newHome()
	b.Mesh = client
	if _, ok := b.requestGrant(t.Context(), netip.MustParseAddrPort(l.Addr().String()), retrylimit.Need{Service: "s", Cost: 2.4}); !ok {
		t.Error("got no grant, want one")
	}
	if got := home.asked.Load(); got != 3 {
		t.Errorf("got %d questions for a cost of 2.4, want 3", got)
	}
}
