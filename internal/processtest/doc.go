// Package processtest tests the guarantees of the system end to end: it runs the built
// programs as processes, which it kills, pauses, cuts off from the network or stops. It
// contains only tests.
package processtest
