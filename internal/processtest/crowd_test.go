package processtest

import (
	"context"
	"net/url"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/crowdtest"
	"ibistray.example/ibistray/internal/localcluster"
)

// The crowd of each test and what the process that it meets may hold.
const (
	crowdClients     = 300
	crowdTime        = time.Second
	crowdMemoryMB    = 256
	crowdDescriptors = 1000
)

// crowd is a system and the number of calls that it has answered.
type crowd struct {
	*system
	calls int
}

func startCrowd(t *testing.T) *crowd {
	return &crowd{system: launchSystem(t, defaultContract(), localcluster.Options{Engines: 1})}
}

// play plays a crowd of each kind at an address of a process. The process must live, keep its limits
// and answer an ordinary request afterwards, and the system must run a program's call.
func (c *crowd) play(t *testing.T, p *localcluster.Process, address string, served func() bool) {
	t.Helper()
	pid := p.PID()
	for _, kind := range append(crowdtest.Heads(), crowdtest.Bodies()...) {
		t.Run(kind.Name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
			defer cancel()
			stop := crowdtest.Watch(pid, crowdMemoryMB<<20, cancel, address)
			crowdtest.Play(ctx, address, kind, crowdClients)
			usage, err := stop()
			t.Log(usage)
			assert.NilError(t, err)
			assert.Assert(t, p.Running())
			assert.Check(t, usage.Bytes <= crowdMemoryMB<<20)
			assert.Check(t, usage.Descriptors <= crowdDescriptors)
			wait, cancelWait := context.WithTimeout(t.Context(), testTimeout)
			defer cancelWait()
			assert.NilError(t, c.Probe.WaitFor(wait, "an ordinary request is answered", served))
			assert.NilError(t, c.Probe.WaitFor(wait, "a call is answered", func() bool { return c.call(wait) }))
			assert.Assert(t, p.Running())
		})
	}
}

// call reports whether the first entry answers the call of a new program.
func (c *crowd) call(ctx context.Context) bool {
	c.calls++
	_, err := c.client(c.EntryURLs()[0]).CallModel(ctx, shortModelCall("program-"+strconv.Itoa(c.calls)))
	return err == nil
}

// answers returns a function that reports whether a URL is answered with success.
func (c *crowd) answers(ctx context.Context, target string) func() bool {
	return func() bool {
		wait, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		return c.Probe.Get(wait, target, nil) == nil
	}
}

func hostOf(t *testing.T, rawURL string) string {
	t.Helper()
	u, err := url.Parse(rawURL)
	assert.NilError(t, err)
	return u.Host
}

// TestCrowdAtTheEntry guards against an entry that grows without bound by clients of its HTTP address.
func TestCrowdAtTheEntry(t *testing.T) {
	c := startCrowd(t)
	node := c.Nodes[0]
	c.play(t, &node.Process, hostOf(t, node.URL()), c.answers(t.Context(), node.URL()+"/readyz"))
}

// TestCrowdAtTheSidecar guards against a sidecar that grows without bound by clients of its HTTP address.
func TestCrowdAtTheSidecar(t *testing.T) {
	c := startCrowd(t)
	server := c.Engines[0]
	c.play(t, &server.Sidecar, hostOf(t, server.SidecarURL()), c.answers(t.Context(), server.SidecarURL()+"/healthz"))
}

// TestCrowdAtTheFakeBackend guards against a fake backend server that grows without bound.
func TestCrowdAtTheFakeBackend(t *testing.T) {
	c := startCrowd(t)
	server := c.Engines[0]
	c.play(t, &server.Backend, hostOf(t, server.URL), func() bool {
		_, err := c.Probe.Stats(t.Context(), server)
		return err == nil
	})
}

// TestCrowdBetweenProcesses guards against a process that grows without bound by connections to the
// address for other processes of the system that do not speak their protocol.
func TestCrowdBetweenProcesses(t *testing.T) {
	c := startCrowd(t)
	node := c.Nodes[0]
	c.play(t, &node.Process, node.ListenAddress(), c.answers(t.Context(), node.URL()+"/readyz"))
}
