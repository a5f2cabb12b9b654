// Package interrupt tells a signal that ends a graceful stop from one that only repeats it.
package interrupt

import (
	"context"
	"os"
	"syscall"

	"github.com/rs/zerolog"
)

// Await calls end when SIGINT arrives, unless ctx ends first. Other signals are logged: a
// supervisor may send SIGTERM more than once, and no request is to be cut for that.
func Await(ctx context.Context, signals <-chan os.Signal, log zerolog.Logger, end func()) {
	for {
		select {
		case s := <-signals:
			log.Info().Str("Signal", s.String()).Msg("signal while the node stops")
			if s == syscall.SIGINT {
				end()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
