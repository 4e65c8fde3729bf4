// Package transport carries exchanges between the system's processes: one
// yamux session for each pair of processes, one stream for each exchange,
// framed protobuf messages on it.
//
// A session sends heartbeats; it is closed when one is not answered within
// heartbeatTimeout, and each exchange on it ends with ErrBroken. An exchange
// carries the remaining time of its caller, so that a server stops work that
// nobody waits for.
package transport
