package chunk

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
)

// Address is the SHA-256 of a chunk or manifest. Its text form is unpadded
// URL-safe base64. The zero address stands for no content, and its text form is
// the empty string.
type Address [sha256.Size]byte

// AddressOf returns the address of the content.
func AddressOf(content []byte) Address { return sha256.Sum256(content) }

// ParseAddress parses the text form. Its error is an AddressError.
func ParseAddress(text string) (Address, error) {
	var a Address
	err := a.UnmarshalText([]byte(text))
	return a, err
}

// String returns the text form.
func (a Address) String() string {
	if a == (Address{}) {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(a[:])
}

// MarshalText returns the text form.
func (a Address) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText parses the text form. Its error is an AddressError.
func (a *Address) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*a = Address{}
		return nil
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(string(text))
	if err != nil || len(b) != len(a) {
		return &AddressError{Text: string(text)}
	}
	copy(a[:], b)
	return nil
}

// AddressError means that a text is not the text form of an address.
type AddressError struct{ Text string }

func (e *AddressError) Error() string { return fmt.Sprintf("chunk: %.60q is not an address", e.Text) }

// ContentError means that the content found for an address has another hash, is
// too long or cannot be decoded.
type ContentError struct {
	Address Address
	Err     error
}

func (e *ContentError) Error() string {
	return fmt.Sprintf("chunk: content of %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ContentError) Unwrap() error { return e.Err }
