// Package pathbench starts a small system as processes on loopback and measures
// the path of a call: its latency through the system and directly at the backend
// server, and what each process spends on it. It also drives the replicated
// customer shards inside one process. The capacity measurements use it too.
package pathbench
