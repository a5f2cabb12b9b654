// Package pack compresses what nodes send to one another in bulk.
package pack

import (
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

const (
	// MaxSize is the maximum length in bytes of what is packed, so that a small message cannot make a
	// node allocate much memory.
	MaxSize = 256 << 10

	windowSize = 64 << 10 // Bounds the memory of the encoder; what is packed is seldom longer.
)

// Packer packs and unpacks bytes as zstd frames. Its zero value is ready for use, and it is safe for
// concurrent use.
type Packer struct {
	startEncoder, startDecoder sync.Once
	encoder                    *zstd.Encoder
	decoder                    *zstd.Decoder
	encoderErr, decoderErr     error
}

// Pack returns a frame of the content, whose length is at most MaxSize.
func (p *Packer) Pack(content []byte) ([]byte, error) {
	if len(content) > MaxSize {
		return nil, fmt.Errorf("pack: %d bytes, at most %d", len(content), MaxSize)
	}
	p.startEncoder.Do(func() {
		// The faster levels have the smaller tables.
		p.encoder, p.encoderErr = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
			zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowSize))
	})
	if p.encoderErr != nil {
		return nil, p.encoderErr
	}
	return p.encoder.EncodeAll(content, nil), nil
}

// Unpack returns the content of a frame. It returns an error if that is longer than MaxSize.
func (p *Packer) Unpack(frame []byte) ([]byte, error) {
	p.startDecoder.Do(func() {
		p.decoder, p.decoderErr = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxSize))
	})
	if p.decoderErr != nil {
		return nil, p.decoderErr
	}
	return p.decoder.DecodeAll(frame, nil)
}
