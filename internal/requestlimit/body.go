package requestlimit

import "ibistray.example/ibistray/internal/tcp"

// complete takes the memory for the body of a request whose head has arrived, and collects it if the
// server gets it as a whole.
func (c *Conn) complete() error {
	if !c.collects {
		return c.holdBody()
	}
	if err := c.collect(); err != nil {
		return err
	}
	if !c.hold(c.headHeld + heldPerBufferedByte*max(0, c.delivered-freeBodyBytes) - c.held.Load()) {
		return c.refuse(reasonMemory)
	}
	return nil
}

// collect reads until the body is complete.
func (c *Conn) collect() error {
	if c.failure != nil {
		return c.refuse(reasonMalformed)
	}
	if err := c.checkLength(); err != nil || !c.inBody {
		return err
	}
	c.limitArrival(bodyTimeout)
	defer c.unlimitArrival()
	for c.inBody {
		free := c.blocks.free()
		if len(free) == 0 {
			if !c.hold(c.headHeld + c.blocks.bytes() - c.held.Load()) {
				return c.refuse(reasonMemory)
			}
			free = c.blocks.add()
		}
		n, err := c.Conn.Read(free)
		if n == 0 {
			c.blocks.recycle()
			return err
		}
		own := c.follow(free[:n])
		c.buf = append(c.buf, free[own:n]...)
		c.blocks.filled(own)
		if c.failure != nil {
			return c.refuse(reasonMalformed)
		}
		if err := c.checkLength(); err != nil {
			return err
		}
		c.widen()
	}
	return nil
}

// checkLength refuses a body that the server would not take.
func (c *Conn) checkLength() error {
	if c.limits.BufferedBodies && c.body.announced+c.chunks.announced() > c.limits.MaxBodyBytes {
		return c.refuse(reasonBodyTooLarge)
	}
	return nil
}

// readBody returns bytes of the body of the current request as they arrive.
func (c *Conn) readBody(p []byte) (int, error) {
	if !c.body.chunked {
		p = p[:min(int64(len(p)), c.body.length)]
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	own := c.follow(p[:n])
	c.buf = keep(p[own:n])
	return own, c.holdBody()
}

// follow returns how many bytes of p belong to the current request, and ends it with its body.
func (c *Conn) follow(p []byte) int {
	n := 0
	if c.inBody && c.body.chunked {
		var valid bool
		if n, valid = c.chunks.scan(p); !valid {
			c.failure = c.wrap(ErrTooLarge)
			if !c.collects {
				count(reasonMalformed) // the handler refuses the request
			}
		}
		c.inBody = c.chunks.state != chunkEnd
	} else if c.inBody {
		n = int(min(int64(len(p)), c.body.length))
		c.body.length -= int64(n)
		c.inBody = c.body.length > 0
	}
	c.delivered += int64(n)
	c.ended = !c.inBody
	return n
}

// holdBody takes the memory for the body so far if the server buffers it, and has more of a large
// body arrive at once.
func (c *Conn) holdBody() error {
	if err := c.checkLength(); err != nil {
		return err
	}
	// A server makes room for a body of a known length before it arrives.
	known := max(c.delivered, c.body.announced)
	if c.limits.BufferedBodies && !c.hold(c.headHeld+heldPerBufferedByte*max(0, known-freeBodyBytes)-c.held.Load()) {
		return c.refuse(reasonMemory)
	}
	c.widen()
	return nil
}

// widen has more of a large body arrive at once, if there is memory for it.
func (c *Conn) widen() {
	if c.wide || !c.inBody || c.delivered < freeBodyBytes || !c.limits.Memory.grow(c.held.Load(), wideReceiveBytes) {
		return
	}
	c.wide = true
	c.widened.Store(wideReceiveBytes)
	c.releaseIfClosed()
	tcp.SetReceived(c.socket, wideReceiveBytes/2) // the kernel takes twice that
}
