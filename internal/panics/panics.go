// Package panics contains panics of code that handles what others send: messages of peers, commands
// of a replicated log, requests of clients, and of background tasks. The input ends with an error or
// the task starts again, the process goes on.
package panics

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
)

// maxStackBytes limits the stack in a log line.
const maxStackBytes = 8 << 10

var contained = prometheus.NewCounterVec(prometheus.CounterOpts{
	Namespace: "ibistray", Name: "contained_panics_total", Help: "Panics that ended one input or were followed by a restart of a background task, by the part of the program.",
}, []string{"part"})

// Collector returns the metric of the contained panics of this process.
func Collector() prometheus.Collector { return contained }

// Error is a panic that was contained.
type Error struct {
	Part  string // of the program
	Value any    // of the panic
}

func (e *Error) Error() string { return fmt.Sprintf("panic in %s: %v", e.Part, e.Value) }

// Unwrap returns the value of the panic if it is an error.
func (e *Error) Unwrap() error {
	err, _ := e.Value.(error)
	return err
}

// Contain calls f. If f panics, Contain logs the panic with its stack, counts it and returns an
// *Error. Whatever f was changing may be left half changed: the caller drops it. Without a log, the
// panic goes to the default logger.
func Contain(log hclog.Logger, part string, f func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = report(log, part, value)
		}
	}()
	f()
	return nil
}

func report(log hclog.Logger, part string, value any) *Error {
	err := &Error{Part: part, Value: value}
	stack := debug.Stack()
	contained.WithLabelValues(part).Inc()
	if log == nil {
		log = hclog.Default()
	}
	log.Error("panic contained", "part", part, "error", err, "stack", string(stack[:min(len(stack), maxStackBytes)]))
	return err
}

// Handler returns a handler that logs and counts panics of next. Its connection is closed without a
// complete response, as the HTTP server does by itself.
func Handler(log hclog.Logger, part string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if err, ok := value.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				_ = report(log, part, value)
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}
