// Package load makes calls to a running system as its callers do: Client makes
// single calls and checks that each answer is whole, and Run replays programs
// at a given rate and measures program latency and wasted cache.
package load
