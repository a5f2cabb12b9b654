package link

import (
	"fmt"
	"net/netip"
)

// PeerError is an error with which a peer replied to a question.
type PeerError struct {
	Address netip.AddrPort
	Message string
}

// Error implements the error interface.
func (e *PeerError) Error() string {
	return fmt.Sprintf("peer %s: %s", e.Address, e.Message)
}

// ConnectError reports that no session or stream to a peer could be opened, so that
// nothing was sent.
type ConnectError struct {
	Address netip.AddrPort
	Err     error
}

// Error implements the error interface.
func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to peer %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error {
	return e.Err
}

// RefusedError reports that the peer did not accept a stream that this node opened, and so has read nothing that was
// written to it.
type RefusedError struct {
	Err error
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return "stream refused: " + e.Err.Error()
}

// Unwrap returns the error of the stream.
func (e *RefusedError) Unwrap() error {
	return e.Err
}
