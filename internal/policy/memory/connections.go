package memory

// Connections are the open connections of an entry.
type Connections struct {
	Clients     int // of clients
	IdleClients int // part of Clients without a request
	Servers     int // to backend servers
	IdleServers int // part of Servers without a request
}

// Limits bound the connections of an entry. 0 means no limit.
type Limits struct {
	Clients int // by memory
	Total   int // by descriptors: clients and backend servers together
}

// Plan says what an entry does about its connections when a client opens another one.
type Plan struct {
	CloseServers int  // idle connections to backend servers to close
	CloseClients int  // idle connections of clients to close, longest idle first
	Refuse       bool // the new connection gets a refusal for its first request
}

// nearLimitShare is the share of a limit above which idle connections are closed. The rest
// is for clients that connect before the closed ones are gone.
const nearLimitShare = 0.9

// PlanConnections decides which connections are closed. c includes the new connection. Idle
// ones go first: a closed one to a backend server costs a new connection, and one of a client
// may also cost a request that is on its way.
func PlanConnections(c Connections, limits Limits) Plan {
	var p Plan
	total := c.Clients + c.Servers
	p.CloseServers = min(excess(total, limits.Total), c.IdleServers)
	overTotal := excess(total, limits.Total) - p.CloseServers
	p.CloseClients = min(max(overTotal, excess(c.Clients, limits.Clients)), c.IdleClients)
	p.Refuse = exceeds(total-p.CloseServers-p.CloseClients, limits.Total) || exceeds(c.Clients-p.CloseClients, limits.Clients)
	return p
}

// excess returns by how many n exceeds nearLimitShare of a limit.
func excess(n, limit int) int {
	if limit <= 0 {
		return 0
	}
	return max(0, n-int(nearLimitShare*float64(limit)))
}

func exceeds(n, limit int) bool { return limit > 0 && n > limit }
