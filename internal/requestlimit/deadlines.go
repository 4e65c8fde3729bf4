package requestlimit

import (
	"fmt"
	"time"
)

// SetReadDeadline implements net.Conn. A head that arrives may have an earlier one.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.readDeadline = t
	return c.applyDeadlines()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// applyDeadlines sets the earlier deadline of reads. The caller holds deadlines.
func (c *Conn) applyDeadlines() error {
	deadline := c.readDeadline
	if !c.arrivalEnd.IsZero() && (deadline.IsZero() || c.arrivalEnd.Before(deadline)) {
		deadline = c.arrivalEnd
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("requestlimit: limit reads: %w", err)
	}
	return nil
}

// limitArrival limits the time for what has begun to arrive.
func (c *Conn) limitArrival(timeout time.Duration) {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if !c.arrivalEnd.IsZero() {
		return
	}
	c.arrivalEnd = time.Now().Add(timeout)
	_ = c.applyDeadlines()
}

func (c *Conn) unlimitArrival() {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.arrivalEnd.IsZero() {
		return
	}
	c.arrivalEnd = time.Time{}
	_ = c.applyDeadlines()
}
