package memory

import "time"

// Connections are the open connections of an entry.
type Connections struct {
	Clients     int // of clients
	IdleClients int // part of Clients that may be closed, see MayClose
	Servers     int // to backend servers
	IdleServers int // part of Servers without a request
}

// Limits bound the connections of an entry. 0 means no limit.
type Limits struct {
	Clients int // by memory
	Total   int // by descriptors: clients and backend servers together
}

// Most returns the number of connections that both limits allow, 0 for any.
func (l Limits) Most() int {
	if l.Clients <= 0 || l.Total > 0 && l.Total < l.Clients {
		return l.Total
	}
	return l.Clients
}

// Plan says what an entry does about its connections when a client opens another one.
type Plan struct {
	CloseServers int  // idle connections to backend servers to close
	CloseClients int  // idle connections of clients to close, longest idle first
	Refuse       bool // the new connection gets a refusal for its first request
	Close        bool // it is closed without, since enough others wait for a refusal
}

// nearLimitShare is the share of a limit above which idle connections are closed. The rest
// is for clients that connect before the closed ones are gone.
const nearLimitShare = 0.9

// refusedConnections is the number of connections beyond a limit on which a refusal can be sent at
// the same time.
const refusedConnections = 32

// PlanConnections decides which connections are closed. c includes the new connection. Idle
// ones go first: a closed one to a backend server costs a new connection, and one of a client
// may also cost a request that is on its way.
func PlanConnections(c Connections, limits Limits) Plan {
	var p Plan
	all := c.Clients + c.Servers
	p.CloseServers = min(excess(all, limits.Total), c.IdleServers)
	overTotal := excess(all, limits.Total) - p.CloseServers
	p.CloseClients = min(max(overTotal, excess(c.Clients, limits.Clients)), c.IdleClients)
	total, clients := all-p.CloseServers-p.CloseClients, c.Clients-p.CloseClients
	p.Refuse = exceeds(total, limits.Total) || exceeds(clients, limits.Clients)
	p.Close = exceeds(total-refusedConnections, limits.Total) || exceeds(clients-refusedConnections, limits.Clients)
	return p
}

// unusedTimeout is how long a connection may wait for a request while others find no room.
const unusedTimeout = 250 * time.Millisecond

// MayClose reports whether a connection that has waited for a request for the given time may be closed
// for a new one while there is no room. It answers clients that open connections and send no request:
// a client that sends its request at once finds room however many of them connect again.
func MayClose(waiting time.Duration) bool { return waiting >= unusedTimeout }

// excess returns by how many n exceeds nearLimitShare of a limit.
func excess(n, limit int) int {
	if limit <= 0 {
		return 0
	}
	return max(0, n-int(nearLimitShare*float64(limit)))
}

func exceeds(n, limit int) bool { return limit > 0 && n > limit }
