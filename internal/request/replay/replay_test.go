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

// chopped reads its content in pieces of the given sizes, and then its end.
type chopped struct {
	rest  []byte
	sizes []int
	end   error
}

func (c *chopped) Read(p []byte) (int, error) {
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

// TestBody_Reader lets readers give up at any point, while an abandoned one goes
// on reading beside its successor.
func TestBody_Reader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("0123456789abcde"), 8000)[:rapid.OneOf(rapid.IntRange(0, 300), rapid.IntRange(65000, 120000)).Draw(t, "size")]
		end := rapid.SampledFrom([]error{io.EOF, errBroken}).Draw(t, "end")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 9000), 0, 20).Draw(t, "sizes")
		b := replay.New(&chopped{rest: want, sizes: sizes, end: end})
		var abandoned sync.WaitGroup
		defer abandoned.Wait()
		var read int
		for range rapid.IntRange(0, 3).Draw(t, "attempts") {
			r, ok := b.Reader()
			if !ok {
				break
			}
			n, _ := io.ReadFull(r, make([]byte, rapid.IntRange(0, 70000).Draw(t, "before giving up")))
			read = max(read, n)
			if rapid.Bool().Draw(t, "goes on") {
				abandoned.Go(func() {
					_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{r}, make([]byte, 100))
				})
			}
		}
		r, ok := b.Reader()
		if !ok {
			if len(want) <= 64<<10 {
				t.Fatalf("got no reader for a body of %d bytes", len(want))
			}
			return
		}
		if read > 64<<10 {
			t.Fatalf("got a reader after %d bytes were read", read)
		}
		got, err := io.ReadAll(r)
		if !bytes.Equal(got, want) || end == io.EOF && err != nil || end != io.EOF && !errors.Is(err, errBroken) {
			t.Fatalf("got %d bytes and %v, want %d and %v", len(got), err, len(want), end)
		}
	})
}
