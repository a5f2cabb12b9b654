package chunk

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
)

// Address is the SHA-256 of the content that it names. Its text form is URL
// base64 without padding; the zero address, of no content, is the empty text.
type Address [sha256.Size]byte

// AddressOf returns the address of the content.
func AddressOf(content []byte) Address { return sha256.Sum256(content) }

// ParseAddress reads the text form.
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

// UnmarshalText reads the text form. Its error is an AddressError.
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

// AddressError says that a text is no address.
type AddressError struct{ Text string }

func (e *AddressError) Error() string { return fmt.Sprintf("chunk: %.60q is not an address", e.Text) }

// ContentError says that a content does not belong to its address or cannot
// be read.
type ContentError struct {
	Address Address
	Err     error
}

func (e *ContentError) Error() string {
	return fmt.Sprintf("chunk: content of %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ContentError) Unwrap() error { return e.Err }
