// Package load is a client and a load generator for a running system. Client makes
// single calls, retries them and checks that each answer is complete. Run starts
// programs at a given rate, and measures their latency and the prompt tokens that
// engines had to compute again.
package load
