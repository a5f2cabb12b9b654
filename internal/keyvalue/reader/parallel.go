package reader

import (
	"context"
	"sync"

	"filbertturn.example/filbertturn/internal/config/chunk"
)

// parallelReads is the maximum number of concurrent reads in one call of chunks.
const parallelReads = 8

// chunks reads the contents at the addresses concurrently. It cancels the remaining
// reads at the first error and returns that error.
func (r Reader) chunks(ctx context.Context, addresses []chunk.Address) (map[chunk.Address][]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var (
		mu       sync.Mutex
		workers  sync.WaitGroup
		contents = make(map[chunk.Address][]byte, len(addresses))
		queue    = make(chan chunk.Address, len(addresses))
	)
	for _, a := range addresses {
		queue <- a
	}
	close(queue)
	for range min(parallelReads, len(addresses)) {
		workers.Go(func() {
			for a := range queue {
				if ctx.Err() != nil {
					return
				}
				content, err := r.Chunk(ctx, a)
				if err != nil {
					cancel(err)
					return
				}
				mu.Lock()
				contents[a] = content
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return contents, nil
}
