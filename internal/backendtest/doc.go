// Package backendtest provides fake backend servers for tests and the demo: a model
// engine, a plain service (a backend without a model) and a TCP relay that injects
// network faults.
//
// The engine implements the interface of docs/BACKENDS.md with continuous batching, a
// prefix cache of limited size and injectable faults. Its answer is a deterministic
// function of the messages that it received, so that a test can verify that a program's
// history was complete, in order and not mixed with that of another program.
package backendtest
