package configsync

import (
	"bytes"
	"context"
	"errors"
	"math"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/node/kvstore"
	"filbertturn.example/filbertturn/internal/node/leftout"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/pack"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
)

// oneKey is a store with the configuration only.
type oneKey struct {
	kvstore.Store
	mu    sync.Mutex
	item  kvstore.Item
	reads int
}

func (s *oneKey) Get(context.Context, string) (kvstore.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return kvstore.Result{Items: []kvstore.Item{s.item}}, nil
}

func (s *oneKey) set(value string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.item = kvstore.Item{Key: "c", Value: []byte(value), Revision: revision}
}

func (s *oneKey) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// decodeText takes a text of the letter v as the configuration of the version that is its length.
func decodeText(value []byte) (uint64, set.Set, error) {
	if strings.Trim(string(value), "v") != "" {
		return 0, set.Set{}, errors.New("odd")
	}
	return uint64(len(value)), set.Set{}, nil
}

// lockedBuffer collects log lines of several goroutines.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buf.String(), text)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// peer answers questions with what a test chooses. It does not know the kinds without a reply.
type peer struct {
	mu      sync.Mutex
	replies map[question.Kind][]byte
	asked   int // Questions that it knows.
}

func (p *peer) Answer(_ context.Context, kind uint32, _ []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply, ok := p.replies[kind]
	if !ok {
		return nil, errors.New("unknown question")
	}
	p.asked++
	return reply, nil
}

func (p *peer) Serve(context.Context, *peerpb.RequestHead, *link.Stream) {}

func (p *peer) askedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

// newSyncer returns a Syncer that runs the version 3, and a peer that it can ask.
func newSyncer(t *testing.T, log *lockedBuffer) (*Syncer, *oneKey, *peer, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := new(peer)
	mesh, other := link.New(nil, nil, nil), link.New(nil, nil, p)
	go other.Serve(l)
	t.Cleanup(func() { _ = l.Close(); mesh.Close(); other.Close() })
	self := netip.MustParseAddrPort("127.0.0.1:1")
	s := new(oneKey)
	s.set("vvv", 1)
	sy := &Syncer{
		Store: s, Mesh: mesh, Key: "c", Decode: decodeText, Log: zerolog.New(log), LeftOut: &leftout.Reporter{Log: zerolog.New(log)}, Self: self,
		Neighbours: func() []netip.AddrPort { return []netip.AddrPort{self} }, Joined: func() bool { return true },
	}
	if err := sy.readStore(t.Context()); err != nil || sy.Snapshot() == nil {
		t.Fatalf("got %v, want a first configuration", err)
	}
	return sy, s, p, netip.MustParseAddrPort(l.Addr().String())
}

// TestSyncer_Run_odd guards against a configuration that cannot be decoded making a node read the
// store as often as it may, with a log line for each read, and not taking the next one.
func TestSyncer_Run_odd(t *testing.T) {
	var log lockedBuffer
	sy, s, _, _ := newSyncer(t, &log)
	s.set("odd", 2)
	before := s.readCount()
	go sy.Run(t.Context())
	time.Sleep(3 * time.Second)
	// A super-peer reads once in 0.6 s.
	if got := s.readCount() - before; got < 2 || got > 6 {
		t.Errorf("got %d reads in 3 s, want about 5", got)
	}
	if got := log.count("left out"); got != 1 {
		t.Errorf("got %d log lines about it, want 1", got)
	}
	if got := sy.Stamp(time.Now()); got.Version != 3 || got.Age > 2*time.Second || sy.Snapshot().Revision() != 3 {
		t.Errorf("got %+v, want a fresh proof of the version 3", got)
	}
	s.set("vvvv", 3)
	for deadline := time.Now().Add(2 * time.Second); sy.Snapshot().Revision() != 4; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the next configuration is not in force after 2 s")
		}
	}
}

// TestSyncer_fetch_age guards against a node that stops asking for a newer configuration because a peer
// reported a proof of the future.
func TestSyncer_fetch_age(t *testing.T) {
	for _, age := range []int64{math.MinInt64, -1, -int64(time.Hour), math.MaxInt64} {
		var log lockedBuffer
		sy, _, p, address := newSyncer(t, &log)
		reply, _ := proto.Marshal(&peerpb.Configuration{Value: []byte("vvvv"), Freshness: &peerpb.Freshness{Version: 4, AgeNanos: age}})
		p.replies = map[question.Kind][]byte{question.Configuration: reply}
		if err := sy.fetch(t.Context(), address); err != nil || sy.Snapshot().Revision() != 4 {
			t.Fatalf("age of %d: got %v", age, err)
		}
		if got := sy.tracker.NextTick(true); got.After(time.Now().Add(time.Second)) {
			t.Errorf("age of %d: got the next query at %s, want one within a second", age, got)
		}
	}
}

// TestSyncer_ObserveStamp_odd guards against asking a peer again and again that announces a newer version
// than it has, or has one that cannot be used, and reading the store each time.
func TestSyncer_ObserveStamp_odd(t *testing.T) {
	noMessage := []byte("\xff\xff\xff")
	tests := []struct {
		desc      string
		replies   map[question.Kind][]byte
		questions int
	}{
		{"an older version", whole(encodeConfiguration("vv")), 1},
		{"a value that cannot be decoded", whole(encodeConfiguration("odd")), 1},
		{"not a message", whole(noMessage), 1},
		{"manifest of an older version", inPieces(encodeManifest("vv", 2, 2), nil), 1},
		{"manifest of other sizes", inPieces(encodeManifest("vvvv", 4, 1<<20), nil), 1},
		{"manifest that is not a message", inPieces(noMessage, nil), 1},
		{"pieces of another value", inPieces(encodeManifest("vvvv", 4, 4), encodePieces("wwww")), 2},
		{"pieces that are too short", inPieces(encodeManifest("vvvv", 4, 4), encodePieces("vv")), 2},
		{"pieces of a value that cannot be decoded", inPieces(encodeManifest("odd!", 4, 4), encodePieces("odd!")), 2},
		{"pieces of an older version than the manifest says", inPieces(encodeManifest("vv", 4, 2), encodePieces("vv")), 2},
		{"pieces that cannot be unpacked", inPieces(encodeManifest("vvvv", 4, 4), encodeContent([]byte("no frame"))), 2},
		{"pieces that are too long", inPieces(encodeManifest("vvvv", 4, 4), encodePieces(strings.Repeat("v", pack.MaxSize))), 2},
		{"pieces that are not a message", inPieces(encodeManifest("vvvv", 4, 4), noMessage), 2},
	}
	for _, tt := range tests {
		var log lockedBuffer
		sy, s, p, address := newSyncer(t, &log)
		p.replies = tt.replies
		before := s.readCount()
		for range 20 {
			sy.ObserveStamp(address, time.Now(), freshness.Stamp{Version: math.MaxUint64})
			time.Sleep(20 * time.Millisecond)
		}
		if got := p.askedCount(); got != tt.questions {
			t.Errorf("%s: got %d questions, want %d", tt.desc, got, tt.questions)
		}
		if got := s.readCount() - before; got > 1 {
			t.Errorf("%s: got %d reads of the store, want 1 at most", tt.desc, got)
		}
		if got := log.count("left out"); got != 1 || sy.Snapshot().Revision() != 3 {
			t.Errorf("%s: got %d log lines and the version %d, want 1 and 3", tt.desc, got, sy.Snapshot().Revision())
		}
	}
}

func encodeConfiguration(value string) []byte {
	b, _ := proto.Marshal(&peerpb.Configuration{Value: []byte(value), Freshness: &peerpb.Freshness{Version: math.MaxUint64}})
	return b
}

// whole returns the replies of a peer whose release knows no pieces.
func whole(reply []byte) map[question.Kind][]byte {
	return map[question.Kind][]byte{question.Configuration: reply}
}

// inPieces returns the replies of a peer that has one manifest, and one reply for all pieces.
func inPieces(manifest, pieces []byte) map[question.Kind][]byte {
	return map[question.Kind][]byte{question.Manifest: manifest, question.Pieces: pieces}
}

// encodeManifest returns the manifest of a value that is a single piece, with a size that may be wrong.
func encodeManifest(value string, version uint64, size uint32) []byte {
	a := chunk.AddressOf([]byte(value))
	b, _ := proto.Marshal(&peerpb.Manifest{Addresses: a[:], Sizes: []uint32{size}, Freshness: &peerpb.Freshness{Version: version}})
	return b
}

func encodePieces(content string) []byte {
	encoder, _ := zstd.NewWriter(nil)
	return encodeContent(encoder.EncodeAll([]byte(content), nil))
}

func encodeContent(packed []byte) []byte {
	b, _ := proto.Marshal(&peerpb.Pieces{Content: packed})
	return b
}

func FuzzSyncer_fetch(f *testing.F) {
	f.Add(encodeConfiguration("vvvv"), []byte{}, []byte{})
	f.Add([]byte{}, []byte{}, []byte{})
	f.Add([]byte{}, encodeManifest("vvvv", 4, 4), encodePieces("vvvv"))
	f.Fuzz(func(t *testing.T, reply, manifest, pieces []byte) {
		var log lockedBuffer
		sy, _, p, address := newSyncer(t, &log)
		p.replies = inPieces(manifest, pieces)
		if len(manifest) == 0 {
			p.replies = whole(reply)
		}
		_ = sy.fetch(t.Context(), address)
		if got := sy.Snapshot().Revision(); got < 3 || sy.tracker.NextTick(true).After(time.Now().Add(time.Second)) {
			t.Errorf("%q, %q, %q: got the version %d", reply, manifest, pieces, got)
		}
	})
}
