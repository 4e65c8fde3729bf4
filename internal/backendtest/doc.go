// Package backendtest provides fake backend servers for tests and the demo: a
// model engine, a plain service and a TCP relay.
//
// The engine implements the interface of docs/BACKENDS.md with continuous
// batching, a limited prefix cache and faults that tests switch on. Its answer
// is a deterministic function of the messages that it received, so that a test
// can check that a program's history was whole, in order and not mixed with
// another program's.
package backendtest
