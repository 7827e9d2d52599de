package dogpipeline

import "sync"

// maxIdleWorkers bounds the goroutines of a server that wait for a request. Each keeps a
// stack of some kilobytes.
const maxIdleWorkers = 64

// workers runs the handlers of a server. Its goroutines run one request after another, as
// the stack of a new goroutine has to grow several times in a handler. The zero value is
// ready for use. It is safe for concurrent use.
type workers struct {
	mu      sync.Mutex
	idle    []chan *response // Those of waiting workers, the last one to wait at the end.
	stopped bool
}

// handle runs the handler of a request in a goroutine that waits, or in a new one.
func (w *workers) handle(r *response) {
	if next := w.take(); next != nil {
		next <- r
		return
	}
	go w.run(r)
}

// take returns the channel of a waiting worker; nil if none waits.
func (w *workers) take() chan *response {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.idle)
	if n == 0 {
		return nil
	}
	next := w.idle[n-1]
	w.idle = w.idle[:n-1]
	return next
}

// run handles requests, r first, until more workers wait than are needed.
func (w *workers) run(r *response) {
	next := make(chan *response, 1)
	for r != nil {
		r.c.handle(r)
		r = nil // Keeps no request while it waits.
		if w.wait(next) {
			r = <-next
		}
	}
}

// wait registers a worker as waiting and reports whether it is to wait.
func (w *workers) wait(next chan *response) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || len(w.idle) >= maxIdleWorkers {
		return false
	}
	w.idle = append(w.idle, next)
	return true
}

// stop ends the waiting workers. Requests are handled all the same afterwards.
func (w *workers) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for _, next := range w.idle {
		close(next)
	}
	w.idle = nil
}
