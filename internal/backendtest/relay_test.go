package backendtest

import (
	"bufio"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// startEchoServer returns the address of a server that sends each received line back.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", defaultListen)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveEcho(conn)
		}
	}()
	return listener.Addr().String()
}

func serveEcho(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := conn.Write([]byte(line)); err != nil {
			return
		}
	}
}

// lineClient is a TCP client that sends and receives lines.
type lineClient struct {
	t    *testing.T
	conn net.Conn
	in   chan string // received lines; closed at the end of the connection
}

func dialLines(t *testing.T, address string) *lineClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &lineClient{t: t, conn: conn, in: make(chan string, 16)}
	go func() {
		defer close(c.in)
		for scanner := bufio.NewScanner(conn); scanner.Scan(); {
			c.in <- scanner.Text()
		}
	}()
	return c
}

func (c *lineClient) send(line string) {
	c.t.Helper()
	_, err := c.conn.Write([]byte(line + "\n"))
	assert.NilError(c.t, err)
}

func (c *lineClient) expect(line string) {
	c.t.Helper()
	got, ok := <-c.in
	assert.Assert(c.t, ok, "the connection ended")
	assert.Equal(c.t, got, line)
}

func (c *lineClient) expectEnd() {
	c.t.Helper()
	got, ok := <-c.in
	assert.Assert(c.t, !ok, "received %q", got)
}

func TestRelayForwardsAndClosesConnections(t *testing.T) {
	r := StartRelay(t, startEchoServer(t))
	c := dialLines(t, r.Addr())
	c.send("one")
	c.expect("one")
	r.CloseConnections()
	c.expectEnd()
	again := dialLines(t, r.Addr())
	again.send("two")
	again.expect("two")
	r.Close()
	again.expectEnd()
	_, err := net.Dial("tcp", r.Addr())
	assert.Assert(t, err != nil)
}

func TestDropOnOpenConnectionsDoesNotAffectNewOnes(t *testing.T) {
	for name, d := range map[string]Direction{"to target": ToTarget, "to client": ToClient, "both": BothDirections} {
		t.Run(name, func(t *testing.T) {
			r := StartRelay(t, startEchoServer(t))
			existing := dialLines(t, r.Addr())
			existing.send("one")
			existing.expect("one")
			r.DropOnOpenConnections(d)
			existing.send("lost")
			later := dialLines(t, r.Addr())
			later.send("two")
			later.expect("two")
			assert.Equal(t, r.Connections(), 2)
			assert.Equal(t, len(existing.in), 0)
		})
	}
}

func TestPartitionAffectsNewConnectionsUntilItEnds(t *testing.T) {
	r := StartRelay(t, startEchoServer(t))
	r.Partition(ToTarget)
	c := dialLines(t, r.Addr())
	waitFor(t, "the connection", func() bool { return r.Connections() == 1 })
	c.send("lost")
	second := dialLines(t, r.Addr())
	waitFor(t, "the second connection", func() bool { return r.Connections() == 2 })
	assert.Equal(t, len(c.in), 0)
	r.Partition(0)
	second.send("two")
	second.expect("two")
}

func TestPausedRelayForwardsAfterResume(t *testing.T) {
	r := StartRelay(t, startEchoServer(t))
	c := dialLines(t, r.Addr())
	c.send("one")
	c.expect("one")
	r.Pause()
	c.send("two")
	assert.Equal(t, len(c.in), 0)
	r.Resume()
	c.expect("two")
}
