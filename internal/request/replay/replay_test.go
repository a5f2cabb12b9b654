package replay_test

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/request/replay"
)

// chunkedReader returns its content in pieces of the given sizes, and then the error end.
type chunkedReader struct {
	rest  []byte
	sizes []int
	end   error
}

func (c *chunkedReader) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return 0, c.end
	}
	n := len(p)
	if len(c.sizes) > 0 {
		n, c.sizes = min(n, c.sizes[0]), c.sizes[1:]
	}
	n = copy(p[:n], c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

var errBroken = errors.New("caller has left")

// TestBody_NewReader lets readers stop at any point, some of which keep reading while
// their successor reads, and checks that the last one gets the whole body.
func TestBody_NewReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("0123456789abcde"), 8000)[:rapid.OneOf(rapid.IntRange(0, 300), rapid.IntRange(65000, 120000)).Draw(t, "size")]
		end := rapid.SampledFrom([]error{io.EOF, errBroken}).Draw(t, "end")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 9000), 0, 20).Draw(t, "sizes")
		b := replay.New(&chunkedReader{rest: want, sizes: sizes, end: end})
		var abandoned sync.WaitGroup
		defer abandoned.Wait()
		var read int
		keepsReading := false
		var earlier io.Reader
		for range rapid.IntRange(0, 3).Draw(t, "attempts") {
			r, ok := b.NewReader()
			if !ok {
				break
			}
			n, _ := io.ReadFull(r, make([]byte, rapid.IntRange(0, 70000).Draw(t, "before giving up")))
			read = max(read, n)
			earlier = r
			if rapid.Bool().Draw(t, "goes on") {
				keepsReading = true
				abandoned.Go(func() {
					_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{r}, make([]byte, 100))
				})
			}
		}
		r, ok := b.NewReader()
		if !ok {
			if len(want) <= 64<<10 {
				t.Fatalf("got no reader for a body of %d bytes", len(want))
			}
			return
		}
		if read > 64<<10 {
			t.Fatalf("got a reader after %d bytes were read", read)
		}
		if earlier != nil {
			if n, err := earlier.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, io.EOF) {
				t.Fatalf("got %d bytes and %v from an earlier reader, want an error", n, err)
			}
		}
		got, err := io.ReadAll(r)
		if !bytes.HasPrefix(want, got) || err == nil && (len(got) < len(want) || !errors.Is(end, io.EOF)) {
			t.Fatalf("got %d bytes and %v, want %d and %v", len(got), err, len(want), end)
		}
		// A reader that keeps reading may exceed the limit after the last reader was made.
		tooMany := keepsReading && len(want) > 64<<10
		if !tooMany && (len(got) < len(want) || errors.Is(end, io.EOF) != (err == nil) || err != nil && !errors.Is(err, errBroken)) {
			t.Fatalf("got %d bytes and %v, want all %d and %v", len(got), err, len(want), end)
		}
	})
}

// TestBody_NewReader_blocked makes a reader while an earlier one is blocked in the source.
// The bytes that the earlier one then receives must reach the new one.
func TestBody_NewReader_blocked(t *testing.T) {
	tests := []struct {
		desc         string
		before, next int
		want         bool
	}{
		{"short", 5, 7, true},
		{"first bytes", 0, 7, true},
		{"largest", 65000, 536, true},
		{"one byte too many", 65000, 537, false},
	}
	for _, tt := range tests {
		want := bytes.Repeat([]byte("0123456789abcde"), 5000)[:tt.before+tt.next]
		var b *replay.Body
		var later io.Reader
		onRead := func() { later, _ = b.NewReader() }
		b = replay.New(io.MultiReader(bytes.NewReader(want[:tt.before]), &hookedReader{onRead, bytes.NewReader(want[tt.before:])}))
		earlier, _ := b.NewReader()
		_, _ = io.ReadFull(earlier, make([]byte, tt.before))
		_, _ = earlier.Read(make([]byte, tt.next))
		got, err := io.ReadAll(later)
		if tt.want != (err == nil) || tt.want && !bytes.Equal(got, want) || !bytes.HasPrefix(want, got) {
			t.Errorf("%s: got %d bytes and %v, want %d", tt.desc, len(got), err, len(want))
		}
	}
}

// hookedReader calls a function during its first read.
type hookedReader struct {
	onRead func()
	io.Reader
}

func (h *hookedReader) Read(p []byte) (int, error) {
	if h.onRead != nil {
		h.onRead()
		h.onRead = nil
	}
	return h.Reader.Read(p)
}
