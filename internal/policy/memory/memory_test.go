package memory

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestLeastImportantRequestsAreTurnedAwayFirst(t *testing.T) {
	assert.Equal(t, ClassOf(true, 1), LessUrgentProgram)
	assert.Equal(t, ClassOf(true, 0), UrgentProgram)
	assert.Equal(t, ClassOf(false, 1), Request)
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.Int64Range(1, 1<<30).Draw(t, "budget")
		held := rapid.Int64Range(0, 2*budget).Draw(t, "held")
		for class := range classes - 1 {
			assert.Assert(t, !Fits(class, held, budget) || Fits(class+1, held, budget))
		}
		assert.Equal(t, Fits(Response, held, budget), held <= budget)
	})
}

func TestConnectionsStayBelowTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Clients: rapid.IntRange(1, 100).Draw(t, "clients limit"), Total: rapid.IntRange(1, 150).Draw(t, "total limit")}
		c := Connections{Clients: rapid.IntRange(1, 120).Draw(t, "clients"), Servers: rapid.IntRange(0, 80).Draw(t, "servers")}
		c.IdleClients = rapid.IntRange(0, c.Clients).Draw(t, "idle clients")
		c.IdleServers = rapid.IntRange(0, c.Servers).Draw(t, "idle servers")
		p := PlanConnections(c, limits)
		assert.Assert(t, p.CloseClients <= c.IdleClients && p.CloseServers <= c.IdleServers)
		clients, total := c.Clients-p.CloseClients, c.Clients-p.CloseClients+c.Servers-p.CloseServers
		assert.Equal(t, p.Refuse, clients > limits.Clients || total > limits.Total)
		if c.Clients <= limits.Clients/2 && c.Clients+c.Servers <= limits.Total/2 {
			assert.Equal(t, p, Plan{}, "nothing is closed without need")
		}
		if p.CloseClients > 0 && c.Clients <= limits.Clients/2 {
			assert.Equal(t, p.CloseServers, c.IdleServers, "idle connections to servers go first")
		}
	})
	assert.Equal(t, PlanConnections(Connections{Clients: 1e6, IdleClients: 1e6, Servers: 1e6}, Limits{}), Plan{})
}
