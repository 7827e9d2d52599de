package fakeplatform

import "context"

// contextUntil returns a child of parent that is also cancelled when done is
// closed.
func contextUntil(parent context.Context, done <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
