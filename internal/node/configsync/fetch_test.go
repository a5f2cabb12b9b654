package configsync

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
)

// member is a node of a fleet that exchanges configurations only.
type member struct {
	*Syncer
	address netip.AddrPort
	log     lockedBuffer

	mu     sync.Mutex
	asked  map[question.Kind]int
	limit  map[question.Kind]int // Questions of a kind that are answered; all if it has no entry.
	before func(question.Kind)   // Called before an answer; nil for nothing.
}

// Answer implements link.Handler.
func (m *member) Answer(_ context.Context, kind uint32, payload []byte) ([]byte, error) {
	m.mu.Lock()
	m.asked[kind]++
	limit, limited := m.limit[kind]
	before, refused := m.before, limited && m.asked[kind] > limit
	m.mu.Unlock()
	if refused {
		return nil, errors.New("node is ill")
	}
	if before != nil {
		before(kind)
	}
	switch kind {
	case question.Freshness:
		return m.AnswerFreshness(time.Now())
	case question.Manifest:
		return m.AnswerManifest(time.Now())
	case question.Pieces:
		return m.AnswerPieces(time.Now(), payload)
	case question.Configuration:
		return m.AnswerConfiguration(time.Now())
	}
	return nil, errors.New("unknown question")
}

// Serve implements link.Handler.
func (m *member) Serve(context.Context, *peerpb.RequestHead, *link.Stream) {}

func (m *member) askedCount(kind question.Kind) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asked[kind]
}

// decodeLines takes lines for a configuration whose first line is its version.
func decodeLines(value []byte) (uint64, set.Set, error) {
	first, _, _ := bytes.Cut(value, []byte("\n"))
	version, err := strconv.ParseUint(string(first), 10, 64)
	return version, set.Set{}, err
}

// lines returns a configuration of n lines, in the form of the operator's routes, which are drawn with the seed.
func lines(version uint64, n int, seed uint64) []byte {
	random := rand.New(rand.NewPCG(seed, 0))
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%d\n", version)
	for range n {
		_, _ = fmt.Fprintf(&b, `{"name":"r-%08x","prefix":"/%08x/","type":"idempotent","timeout_s":8.0,"target_latency_s":3.0,"service":"a","attempts":3}`+"\n", random.Uint32(), random.Uint32())
	}
	return []byte(b.String())
}

// startMembers returns nodes of one data centre without a configuration, whose stores have none either.
func startMembers(t *testing.T, n int) []*member {
	t.Helper()
	members := make([]*member, n)
	var all []netip.AddrPort
	for i := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		m := &member{address: netip.MustParseAddrPort(l.Addr().String()), asked: map[question.Kind]int{}}
		mesh := link.New(nil, nil, m)
		m.Syncer = &Syncer{
			Store: new(oneKey), Mesh: mesh, Decode: decodeLines, Log: zerolog.New(&m.log), Self: m.address,
			Neighbours: func() []netip.AddrPort { return all }, Joined: func() bool { return true },
		}
		go mesh.Serve(l)
		t.Cleanup(func() { _ = l.Close(); mesh.Close() })
		members[i], all = m, append(all, m.address)
	}
	return members
}

// give makes a configuration the running one of a node.
func (m *member) give(t *testing.T, value []byte) {
	t.Helper()
	if err := m.apply(&content{value: value}, time.Now(), "test"); err != nil {
		t.Fatal(err)
	}
}

// hear lets a node hear of the version of another one.
func (m *member) hear(from *member) {
	m.ObserveStamp(from.address, time.Now(), from.Stamp(time.Now()))
}

// await waits until a node runs the configuration of another one.
func (m *member) await(t *testing.T, from *member, timeout time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(timeout); m.Stamp(time.Now()).Version != from.Stamp(time.Now()).Version; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got the version %d after %s, want %d; log:\n%s", m.Stamp(time.Now()).Version, timeout, from.Stamp(time.Now()).Version, m.log.text())
		}
	}
	got, _ := m.running(time.Now())
	want, _ := from.running(time.Now())
	if !bytes.Equal(got.value, want.value) {
		t.Fatalf("got a value of %d bytes, want that of the peer of %d", len(got.value), len(want.value))
	}
}

// TestSyncer_fetch_smallChange guards against a small change that moves the whole configuration to each node.
func TestSyncer_fetch_smallChange(t *testing.T) {
	const maxBytes = 20_000
	m := startMembers(t, 2)
	before := lines(1, 5000, 1)
	m[0].give(t, before)
	m[1].give(t, before)
	after := bytes.Split(before, []byte("\n"))
	after[0], after[2500] = []byte("2"), []byte("one route replaced")
	m[0].give(t, bytes.Join(after, []byte("\n")))
	m[1].hear(m[0])
	m[1].await(t, m[0], 2*time.Second)
	if got, _ := m[1].Traffic(); got > maxBytes {
		t.Errorf("got %d bytes for one route of 5,000, want at most %d", got, maxBytes)
	}
}

// TestSyncer_fetch_partial guards against a fetch that begins at the first byte again after it broke off.
func TestSyncer_fetch_partial(t *testing.T) {
	m := startMembers(t, 3)
	value := lines(1, 3000, 1)
	m[0].give(t, value)
	m[1].give(t, value)
	m[0].limit = map[question.Kind]int{question.Pieces: 8}
	m[2].hear(m[0])
	for deadline := time.Now().Add(2 * time.Second); m[0].askedCount(question.Pieces) <= 8; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the first node was not asked for more than it answers")
		}
	}
	for m[2].fetching.Load() {
		time.Sleep(time.Millisecond)
	}
	if got := m[0].askedCount(question.Configuration); got != 0 {
		t.Errorf("got %d questions for the whole configuration, want none", got)
	}
	m[2].hear(m[1])
	m[2].await(t, m[1], 2*time.Second)
	batches := (len(value) + maxBatch - 1) / maxBatch
	if got, want := m[1].askedCount(question.Pieces), batches-8+3; got > want {
		t.Errorf("got %d batches of %d from the second node after 8 from the first, want at most %d", got, batches, want)
	}
}

// TestSyncer_fetch_replaced checks that a node gets the newest version of a peer whose version is replaced while it is fetched.
func TestSyncer_fetch_replaced(t *testing.T) {
	m := startMembers(t, 2)
	m[0].give(t, lines(1, 2000, 1))
	replaced := false
	m[0].before = func(k question.Kind) {
		if k == question.Pieces && !replaced {
			replaced = true
			m[0].give(t, lines(2, 2000, 2))
		}
	}
	m[1].hear(m[0])
	m[1].await(t, m[0], 2*time.Second)
	if got := m[1].Stamp(time.Now()).Version; got != 2 {
		t.Errorf("got the version %d, want 2", got)
	}
}

// TestSyncer_fetch_turns checks that a node serves no more nodes at the same time than it may, and that the others get the
// configuration nevertheless.
func TestSyncer_fetch_turns(t *testing.T) {
	m := startMembers(t, 9)
	m[0].Turns.Limit = 1
	m[0].before = func(question.Kind) { time.Sleep(2 * time.Millisecond) }
	m[0].give(t, lines(1, 3000, 1))
	for _, o := range m[1:] {
		o.hear(m[0])
	}
	for _, o := range m[1:] {
		for deadline := time.Now().Add(5 * time.Second); o.Stamp(time.Now()).Version != 1; time.Sleep(5 * time.Millisecond) {
			if o.hear(m[0]); time.Now().After(deadline) {
				t.Fatalf("a node has no configuration after 5s; its log:\n%s", o.log.text())
			}
		}
	}
	others := 0
	for _, o := range m[1:] {
		others += o.askedCount(question.Pieces)
	}
	if others == 0 {
		t.Error("got no node that was served by another one than the first")
	}
}

// TestSyncer_fetch_near guards against a configuration that crosses data centres once for each node.
func TestSyncer_fetch_near(t *testing.T) {
	m := startMembers(t, 3)
	near := []netip.AddrPort{m[0].address, m[1].address}
	for _, o := range m {
		o.Neighbours = func() []netip.AddrPort { return near }
	}
	value := lines(1, 3000, 1)
	m[0].give(t, value)
	m[2].give(t, value)
	m[1].hear(m[2])
	m[1].await(t, m[0], 2*time.Second)
	if got := m[2].askedCount(question.Manifest); got != 0 {
		t.Errorf("got %d questions to the node of another data centre, want none", got)
	}
}

// TestSyncer_fetch_far checks that a node fetches from another data centre what its super-peer does not have.
func TestSyncer_fetch_far(t *testing.T) {
	m := startMembers(t, 3)
	near := []netip.AddrPort{m[0].address, m[1].address}
	for _, o := range m {
		o.Neighbours = func() []netip.AddrPort { return near }
	}
	m[2].give(t, lines(1, 3000, 1))
	m[1].hear(m[2])
	m[1].await(t, m[2], 2*time.Second)
}

// TestSyncer_fetch_olderRelease checks that a node gets the configuration of a peer whose release knows no pieces.
func TestSyncer_fetch_olderRelease(t *testing.T) {
	m := startMembers(t, 2)
	m[0].limit = map[question.Kind]int{question.Manifest: 0, question.Pieces: 0}
	m[0].give(t, lines(1, 3000, 1))
	m[1].hear(m[0])
	m[1].await(t, m[0], 2*time.Second)
}

// TestSyncer_refer_foreign guards against a peer that makes nodes ask any address that it names.
func TestSyncer_refer_foreign(t *testing.T) {
	m := startMembers(t, 2)
	foreign, err := netip.MustParseAddrPort("10.0.0.1:1").MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	m[1].refer(time.Now(), m[0].address, 5, [][]byte{foreign, []byte("odd"), nil})
	if a, _, ok := m[1].chooseSource(time.Now()); ok {
		t.Errorf("got %s to fetch from, want none", a)
	}
}

// TestSyncer_ObserveStamp_older checks that no peer is asked for a version that is not newer.
func TestSyncer_ObserveStamp_older(t *testing.T) {
	m := startMembers(t, 2)
	m[1].give(t, lines(5, 1, 1))
	for _, version := range []uint64{0, 4, 5} {
		m[1].ObserveStamp(m[0].address, time.Now(), freshness.Stamp{Version: version})
	}
	time.Sleep(50 * time.Millisecond)
	if got := m[0].askedCount(question.Manifest); got != 0 {
		t.Errorf("got %d questions, want none", got)
	}
}
