package transport

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"
)

// largeMessageBytes is the size from which messages count toward the limit of largeMessages. Smaller
// ones never wait for it.
const largeMessageBytes = 64 << 10

// largeArrivalTime is how long a message that arrives counts toward the limit of largeMessages.
const largeArrivalTime = 250 * time.Millisecond

// largeMessages limits the bytes of the large messages that a server handles at the same time.
type largeMessages struct {
	limit int64
	held  *semaphore.Weighted
}

func newLargeMessages(limit int64) *largeMessages {
	return &largeMessages{limit: limit, held: semaphore.NewWeighted(limit)}
}

// acquire waits until a message of the size may be read, and returns the function that ends its
// handling. A message above the limit is handled alone. Error: that of ctx.
func (l *largeMessages) acquire(ctx context.Context, size int) (release func(), err error) {
	if l == nil || size < largeMessageBytes {
		return func() {}, nil
	}
	weight := min(int64(size), l.limit)
	if err := l.held.Acquire(ctx, weight); err != nil {
		return nil, err
	}
	return func() { l.held.Release(weight) }, nil
}
