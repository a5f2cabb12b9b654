package pack_test

import (
	"bytes"
	"testing"

	"github.com/klauspost/compress/zstd"

	"filbertturn.example/filbertturn/internal/peer/pack"
)

func FuzzPacker_Pack(f *testing.F) {
	f.Add([]byte("text"), 1)
	f.Add([]byte(`{"name":"r"},`), 2000)
	f.Fuzz(func(t *testing.T, part []byte, times int) {
		var p pack.Packer
		content := bytes.Repeat(part, min(max(times, 0), pack.MaxSize/max(len(part), 1)))
		frame, err := p.Pack(content)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := p.Unpack(frame); err != nil || !bytes.Equal(got, content) {
			t.Errorf("got %d bytes and %v, want %d", len(got), err, len(content))
		}
	})
}

func FuzzPacker_Unpack(f *testing.F) {
	f.Add([]byte("no frame"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		var p pack.Packer
		if got, err := p.Unpack(frame); err == nil && len(got) > pack.MaxSize {
			t.Errorf("got %d bytes, want at most %d", len(got), pack.MaxSize)
		}
	})
}

// TestPacker_Unpack_tooLong guards against a small frame that makes a node allocate much memory.
func TestPacker_Unpack_tooLong(t *testing.T) {
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	var p pack.Packer
	for _, size := range []int{pack.MaxSize + 1, 64 << 20} {
		var streamed bytes.Buffer // Its frame does not tell the length.
		w, _ := zstd.NewWriter(&streamed)
		_, _ = w.Write(make([]byte, size))
		_ = w.Close()
		for _, frame := range [][]byte{encoder.EncodeAll(make([]byte, size), nil), streamed.Bytes()} {
			if got, err := p.Unpack(frame); err == nil {
				t.Errorf("got %d bytes of a frame of %d, want an error", len(got), len(frame))
			}
		}
	}
	if _, err := p.Pack(make([]byte, pack.MaxSize+1)); err == nil {
		t.Error("got a frame of more than may be packed")
	}
}
