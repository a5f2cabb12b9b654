// Package fingerprint identifies a request that comes again: with the same method, host,
// target, customer and body, under another identifier, on another connection or at another
// node, with a counted or a chunked body.
package fingerprint

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net"
	"strings"
)

// KeySize is the length of a key in bytes.
const KeySize = 32

// headSize is the room, in bytes, for the usual fields of a request but the body.
const headSize = 256

// Size is the length of a fingerprint in bytes.
const Size = 16

// Fingerprint is a keyed digest of a request. The zero value means that it is not known.
type Fingerprint [Size]byte

// FromBytes returns the fingerprint that b holds, or the zero value if b does not have
// Size bytes.
func FromBytes(b []byte) Fingerprint {
	var f Fingerprint
	if len(b) == Size {
		copy(f[:], b)
	}
	return f
}

// Parse reads what String returns. It reports whether the text is a fingerprint.
func Parse(text string) (Fingerprint, bool) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != Size {
		return Fingerprint{}, false
	}
	return Fingerprint(b), true
}

// String returns the fingerprint in hexadecimal, which tells nothing of the request.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// IsZero reports whether the fingerprint is not known.
func (f Fingerprint) IsZero() bool {
	return f == Fingerprint{}
}

// Key keys the digests. All nodes of a fleet have the same one. Without it, a fingerprint
// in a log does not reveal a request by a comparison with guessed ones.
type Key [KeySize]byte

// Start returns the digest of a request without its body, to which the body is written.
func (k Key) Start(method, host, target, customer string) *Digest {
	d := &Digest{mac: hmac.New(sha256.New, k[:])}
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	head := make([]byte, 0, headSize)
	for _, field := range [...]string{method, strings.ToLower(host), target, customer} {
		// The lengths keep text from moving from one field to the next.
		head = binary.BigEndian.AppendUint32(head, uint32(len(field)))
		head = append(head, field...)
	}
	_, _ = d.mac.Write(head)
	return d
}

// Digest computes the fingerprint of one request. It is not safe for concurrent use. A nil digest
// stands for a key that is not known: its fingerprint is the zero value.
type Digest struct {
	mac    hash.Hash
	length int64
}

// Write adds a part of the body. It never fails.
func (d *Digest) Write(p []byte) (int, error) {
	if d == nil {
		return len(p), nil
	}
	d.length += int64(len(p))
	return d.mac.Write(p)
}

// Length returns the number of bytes of the body so far.
func (d *Digest) Length() int64 {
	if d == nil {
		return 0
	}
	return d.length
}

// Sum returns the fingerprint of the request with the body so far. More may be written
// afterwards.
func (d *Digest) Sum() Fingerprint {
	if d == nil {
		return Fingerprint{}
	}
	var buf [sha256.Size]byte
	return Fingerprint(d.mac.Sum(buf[:0])[:Size])
}
