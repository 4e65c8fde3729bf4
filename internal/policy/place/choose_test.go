package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const leaseEnd = 10 * time.Second

func makeServers(n int) []Server {
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{
			ID:        fmt.Sprintf("server-%05d", i),
			State:     StateReady,
			ExpiresAt: leaseEnd,
			Load:      Load{BatchLimit: 8, TokensPerSecond: 50, PrefillTokensPerSecond: 4000},
			InFlight:  &InFlight{},
		}
	}
	return servers
}

func newTestView(servers []Server) *View { return NewView(DefaultParams(), servers) }

func TestChoosePrefix(t *testing.T) {
	const holder = "server-00001"
	tests := []struct {
		name   string
		change func(servers []Server, req *Request)
		want   Reason
	}{
		{"holder has room", func([]Server, *Request) {}, ReasonPrefix},
		{"holder outside the subset", func(_ []Server, r *Request) { r.Program = "elsewhere" }, ReasonPrefix},
		{"short wait for a long prefix", func(s []Server, _ *Request) { s[1].Load.Running = 9 }, ReasonPrefix},
		{"long wait", func(s []Server, _ *Request) { s[1].Load.Waiting = 60 }, ReasonPrefixBusy},
		{"leaving", func(s []Server, _ *Request) { s[1].State = StateLeaving }, ReasonPrefixUnavailable},
		{"down", func(s []Server, _ *Request) { s[1].State = StateDown }, ReasonPrefixUnavailable},
		{"expired", func(s []Server, _ *Request) { s[1].ExpiresAt = time.Second }, ReasonPrefixUnavailable},
		{"excluded", func(_ []Server, r *Request) { r.Exclude = []string{holder} }, ReasonPrefixUnavailable},
		{"unknown holder", func(_ []Server, r *Request) { r.CachedOn = "gone" }, ReasonPrefixUnavailable},
		{"no prefix", func(_ []Server, r *Request) { r.CachedOn = "" }, ReasonNoPrefix},
		{"alone", func(_ []Server, r *Request) { r.Alone = true }, ReasonAlone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			servers := makeServers(20)
			req := Request{Program: "c/p", CachedOn: holder, CachedTokens: 8000, PromptTokens: 8200}
			test.change(servers, &req)
			d, err := Choose(newTestView(servers), req, 7, 2*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, d.Reason, test.want)
			assert.Equal(t, d.Server.ID == holder, test.want == ReasonPrefix)
		})
	}
}

func TestChooseErrors(t *testing.T) {
	_, err := Choose(newTestView(nil), Request{Program: "p"}, 0, 0)
	assert.ErrorIs(t, err, ErrNoServers)
	servers := makeServers(2)
	_, err = Choose(newTestView(servers), Request{Program: "p"}, 0, leaseEnd)
	assert.ErrorIs(t, err, ErrNoneAvailable)
	all := []string{servers[0].ID, servers[1].ID}
	_, err = Choose(newTestView(servers), Request{Program: "p", Exclude: all}, 0, 0)
	assert.ErrorIs(t, err, ErrAllExcluded)
}

func TestCallsInFlightCorrectLateReport(t *testing.T) {
	s := makeServers(1)[0]
	s.Load.Running = 5
	s.InFlightAtReport = 3
	assert.Equal(t, s.Outstanding(), int64(2))
	for range 4 {
		s.InFlight.Begin()
	}
	assert.Equal(t, s.Outstanding(), int64(6))
	s.InFlightAtReport = 9
	assert.Equal(t, s.Outstanding(), int64(4))
}

// TestBurstSpreadsOverSubset checks that servers with a low reported load do not
// attract all calls that arrive before the next load report.
func TestBurstSpreadsOverSubset(t *testing.T) {
	servers := makeServers(subsetSize)
	servers[0].Load.Running, servers[1].Load.Running = 0, 0
	for i := 2; i < subsetSize; i++ {
		servers[i].Load.Running = 4
	}
	v := newTestView(servers)
	const calls = 160
	for i := range calls {
		d, err := Choose(v, Request{Program: "p"}, uint64(i), 0)
		assert.NilError(t, err)
		d.Server.InFlight.Begin()
	}
	for i := range servers {
		assert.Assert(t, servers[i].InFlight.Calls() < 2*calls/subsetSize, "server %d: %d calls", i, servers[i].InFlight.Calls())
	}
}

func TestChooseFallsBackOutsideSubset(t *testing.T) {
	servers := makeServers(100)
	v := newTestView(servers)
	for _, index := range v.subsetOf("p") {
		servers[index].State = StateDown
	}
	d, err := Choose(newTestView(servers), Request{Program: "p"}, 3, 0)
	assert.NilError(t, err)
	assert.Equal(t, d.Reason, ReasonOutsideSubset)
}

func TestChooseNeverReturnsUnusableServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := makeServers(rapid.IntRange(1, 30).Draw(t, "servers"))
		for i := range servers {
			servers[i].State = rapid.SampledFrom([]State{StateReady, StateLeaving, StateDown}).Draw(t, "state")
			servers[i].ExpiresAt = time.Duration(rapid.IntRange(0, 2).Draw(t, "expires")) * time.Second
			servers[i].Load.Waiting = rapid.Int64Range(0, 100).Draw(t, "waiting")
		}
		anyServer := rapid.SampledFrom(servers)
		req := Request{
			Program:      rapid.StringN(0, 5, 5).Draw(t, "program"),
			CachedOn:     anyServer.Draw(t, "holder").ID,
			CachedTokens: rapid.Int64Range(0, 100000).Draw(t, "cached"),
			Alone:        rapid.Bool().Draw(t, "alone"),
		}
		for range rapid.IntRange(0, 5).Draw(t, "excluded") {
			req.Exclude = append(req.Exclude, anyServer.Draw(t, "exclude").ID)
		}
		now := time.Second
		rnd := rapid.Uint64().Draw(t, "rnd")
		d, err := Choose(newTestView(servers), req, rnd, now)
		if err != nil {
			for i := range servers {
				assert.Assert(t, !usable(&servers[i], &req, now))
			}
			return
		}
		assert.Assert(t, d.Server.Available(now))
		assert.Assert(t, !slices.Contains(req.Exclude, d.Server.ID))
		again, _ := Choose(newTestView(servers), req, rnd, now)
		assert.Equal(t, again.Server.ID, d.Server.ID)
	})
}

func TestSubsetChangesOnlyByAddedServer(t *testing.T) {
	servers := makeServers(60)
	before := newTestView(servers[1:])
	after := before.WithServers(servers)
	for bucket := range before.subsets {
		for _, index := range after.subsets[bucket] {
			id := after.servers[index].ID
			known := slices.ContainsFunc(before.subsets[bucket][:], func(i int32) bool {
				return before.servers[i].ID == id
			})
			assert.Assert(t, known || id == servers[0].ID)
		}
	}
}

// TestSubsetsDoNotDependOnHistory checks that a view that was changed several times
// has the same subsets as a new view of the same servers.
func TestSubsetsDoNotDependOnHistory(t *testing.T) {
	all := makeServers(40)
	rapid.Check(t, func(t *rapid.T) {
		v := newTestView(nil)
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			var servers []Server
			for _, s := range all {
				if rapid.Bool().Draw(t, "listed") {
					servers = append(servers, s)
				}
			}
			v = v.WithServers(servers)
			fresh := newTestView(servers)
			assert.Assert(t, slices.Equal(v.subsets, fresh.subsets))
		}
	})
}

func TestChooseDoesNotAllocate(t *testing.T) {
	v := newTestView(makeServers(100))
	req := Request{Program: "c/p", CachedOn: "server-00001", CachedTokens: 100, Exclude: []string{"x"}}
	allocs := testing.AllocsPerRun(100, func() {
		_, _ = Choose(v, req, 1, 0)
	})
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 11000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			v := newTestView(makeServers(n))
			req := Request{Program: "customer/program", CachedOn: "server-00001", CachedTokens: 100}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_, _ = Choose(v, req, uint64(i), 0)
			}
		})
	}
}

func BenchmarkAddServer(b *testing.B) {
	servers := makeServers(11000)
	v := newTestView(servers[1:])
	for b.Loop() {
		v.WithServers(servers)
	}
}

func BenchmarkRemoveServer(b *testing.B) {
	servers := makeServers(11000)
	v := newTestView(servers)
	for b.Loop() {
		v.WithServers(servers[1:])
	}
}

func BenchmarkNewView(b *testing.B) {
	servers := makeServers(11000)
	for b.Loop() {
		newTestView(servers)
	}
}
