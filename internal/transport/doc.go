// Package transport carries RPCs between the system's processes. Each pair of
// processes shares one yamux session, and each RPC is a stream of framed protobuf
// messages on it.
//
// A session sends heartbeats. If one gets no response within heartbeatTimeout, the
// session is closed and each RPC on it ends with ErrInterrupted. A request carries the
// time that remains until its caller's deadline, so that a server can cancel work
// whose result is no longer needed.
package transport
