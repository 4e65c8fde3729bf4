package backendtest

import (
	"bufio"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// startEcho returns the address of a server that returns each line.
func startEcho(t *testing.T) string {
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
			go echo(conn)
		}
	}()
	return listener.Addr().String()
}

func echo(conn net.Conn) {
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

// lineConn sends and receives lines.
type lineConn struct {
	t    *testing.T
	conn net.Conn
	in   chan string // closed at the end of the connection
}

func dialLines(t *testing.T, address string) *lineConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &lineConn{t: t, conn: conn, in: make(chan string, 16)}
	go func() {
		defer close(c.in)
		for scanner := bufio.NewScanner(conn); scanner.Scan(); {
			c.in <- scanner.Text()
		}
	}()
	return c
}

func (c *lineConn) send(line string) {
	c.t.Helper()
	_, err := c.conn.Write([]byte(line + "\n"))
	assert.NilError(c.t, err)
}

func (c *lineConn) expect(line string) {
	c.t.Helper()
	got, ok := <-c.in
	assert.Assert(c.t, ok, "the connection ended")
	assert.Equal(c.t, got, line)
}

func (c *lineConn) expectEnd() {
	c.t.Helper()
	got, ok := <-c.in
	assert.Assert(c.t, !ok, "received %q", got)
}

func TestRelayForwardsAndCuts(t *testing.T) {
	r := StartRelay(t, startEcho(t))
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

func TestSilencedConnectionStaysOpenWhileNewOnesWork(t *testing.T) {
	for name, d := range map[string]Direction{"to target": ToTarget, "to caller": ToClient, "both": BothDirections} {
		t.Run(name, func(t *testing.T) {
			r := StartRelay(t, startEcho(t))
			old := dialLines(t, r.Addr())
			old.send("one")
			old.expect("one")
			r.DropOnOpenConnections(d)
			old.send("lost")
			fresh := dialLines(t, r.Addr())
			fresh.send("two")
			fresh.expect("two")
			assert.Equal(t, r.Connections(), 2)
			assert.Equal(t, len(old.in), 0)
		})
	}
}

func TestPartitionHitsNewConnectionsUntilHealed(t *testing.T) {
	r := StartRelay(t, startEcho(t))
	r.Partition(ToTarget)
	c := dialLines(t, r.Addr())
	waitFor(t, "the connection", func() bool { return r.Connections() == 1 })
	c.send("lost")
	probe := dialLines(t, r.Addr())
	waitFor(t, "the probe", func() bool { return r.Connections() == 2 })
	assert.Equal(t, len(c.in), 0)
	r.Partition(0)
	probe.send("two")
	probe.expect("two")
}

func TestFrozenBytesMoveAfterThaw(t *testing.T) {
	r := StartRelay(t, startEcho(t))
	c := dialLines(t, r.Addr())
	c.send("one")
	c.expect("one")
	r.Pause()
	c.send("two")
	assert.Equal(t, len(c.in), 0)
	r.Resume()
	c.expect("two")
}
