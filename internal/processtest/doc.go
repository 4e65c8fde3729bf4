// Package processtest proves the promises of the system with real processes,
// while they are killed, frozen, cut off or stopped. It holds tests only.
package processtest
