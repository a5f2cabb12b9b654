package transport

import (
	"errors"

	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/failure"
)

// errSilentOwner is the error of a request that is not awaited any longer.
var errSilentOwner = errors.New("the owner is silent")

// readFromOwner reads the next frame of a response. It gives up waiting for a silent owner if the request can
// be sent elsewhere. Another request is awaited until its deadline: the owner may be heard again.
func readFromOwner(stream *link.Stream, movable bool) (*peerpb.Frame, error) {
	if !movable {
		return stream.Read()
	}
	silent, read, watched := false, make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		defer stream.Faults().Recover("", func(*failure.Failure) { stream.AbortReads() })
		select {
		case <-stream.Silent():
			silent = true
			stream.AbortReads()
		case <-read:
		}
	}()
	f, err := stream.Read()
	close(read)
	if <-watched; silent {
		return nil, errSilentOwner
	}
	return f, err
}
