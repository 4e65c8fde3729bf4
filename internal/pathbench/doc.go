// Package pathbench benchmarks the path of a call. It starts a small system as
// processes on loopback, and compares the latency of calls through the system with
// that of calls sent directly to the backend server. It also measures the resources
// that each process uses for a call, and the throughput of replicated customer
// shards in one process. The capacity measurements use its parts.
package pathbench
