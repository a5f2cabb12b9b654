package link

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"filbertturn.example/filbertturn/internal/peer/peerpb"
)

// boundedBudget gives out memory up to a limit.
type boundedBudget struct {
	mu          sync.Mutex
	limit, used int64
	most        int64
}

type boundedHolding struct {
	budget *boundedBudget
	drawn  int64
}

func (b *boundedBudget) OpenStream(bytes int64) (Holding, bool) {
	h := &boundedHolding{budget: b}
	return h, h.Draw(bytes)
}

func (h *boundedHolding) Draw(bytes int64) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.budget.used+bytes > h.budget.limit {
		return false
	}
	h.drawn += bytes
	h.budget.used += bytes
	h.budget.most = max(h.budget.most, h.budget.used)
	return true
}

func (h *boundedHolding) Return(bytes int64) { h.Draw(-bytes) }
func (h *boundedHolding) Close()             { h.Draw(-h.drawn) }

func (b *boundedBudget) inUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// reader reads one frame after the head of each request, and answers.
type reader struct{}

func (reader) Answer(context.Context, uint32, []byte) ([]byte, error) { return []byte("reply"), nil }

func (reader) Serve(_ context.Context, _ *peerpb.RequestHead, s *Stream) {
	_, _ = s.Read()
	_ = s.Write(&peerpb.Frame{Body: &peerpb.Frame_End{End: &peerpb.End{}}})
}

// TestMesh_budget guards against memory for streams that is not given back, or not asked for, with a peer that sends
// much which nobody reads.
func TestMesh_budget(t *testing.T) {
	const limit = 1 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &boundedBudget{limit: limit}
	server, client := New(nil, nil, reader{}), New(nil, nil, reader{})
	server.Budget = b
	go server.Serve(l)
	t.Cleanup(func() { _ = l.Close(); client.Close(); server.Close() })
	to := l.Addr().(*net.TCPAddr).AddrPort()
	for range 30 {
		if _, err := client.Ask(t.Context(), to, 1, make([]byte, 1000)); err != nil {
			t.Fatal(err)
		}
		s, err := client.Open(t.Context(), to)
		if err != nil {
			t.Fatal(err)
		}
		_ = s.Write(&peerpb.Frame{Body: &peerpb.Frame_Request{Request: &peerpb.RequestHead{RequestId: "1"}}})
		_ = s.Write(&peerpb.Frame{Body: &peerpb.Frame_Data{Data: &peerpb.Data{Bytes: make([]byte, 30<<10)}}})
		if f, err := s.Read(); err != nil || f.GetEnd() == nil {
			t.Fatalf("got %v and %v, want the end of the response", f, err)
		}
		_ = s.Close()
	}
	const kept = 256 << 10 // Of the session and its stream for questions.
	for deadline := time.Now().Add(5 * time.Second); b.inUse() > kept && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	if got := b.inUse(); got > kept {
		t.Errorf("got %d bytes in use after all requests, want %d at most", got, kept)
	}
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	flood, err := yamux.Client(raw, yamuxConfig())
	if err != nil {
		t.Fatal(err)
	}
	for range 50 {
		s, err := flood.OpenStream()
		if err != nil {
			break
		}
		_ = s.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := s.Write(append(binary.BigEndian.AppendUint32(nil, 1<<20), make([]byte, 200<<10)...)); err != nil {
			break
		}
	}
	select {
	case <-flood.CloseChan():
	case <-time.After(5 * time.Second):
		t.Error("got a session that stays open without memory for it, want it ended")
	}
	if _, err := client.Ask(t.Context(), to, 1, nil); err != nil {
		t.Errorf("got %v for another node, want a reply", err)
	}
}

// TestUnreadWatch guards against memory for what nobody reads that stays drawn after its streams have ended.
func TestUnreadWatch(t *testing.T) {
	b := &boundedBudget{limit: 1 << 30}
	room, _ := b.OpenStream(0)
	w := newUnreadWatch(nil, room)
	for id := range uint32(20) {
		w.note(id, muxFlagOpen)
		w.receive(id, 256<<10)
	}
	for id := range uint32(20) {
		w.note(id, muxFlagClose)
		w.end(id)
	}
	if got := b.inUse(); got > 2*unreadStep {
		t.Errorf("got %d bytes in use without a stream, want %d at most", got, 2*unreadStep)
	}
}
