package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"ibistray.example/ibistray/internal/passthrough"
)

// bufferedAnswerBytes is the largest answer that is read whole before it is passed
// on, so that one that breaks off can still be asked for again.
const bufferedAnswerBytes = 256 << 10

// copyHead writes the server's headers into the answer.
func (c *call) copyHead(resp *http.Response) {
	header := resp.Header.Clone()
	removeHopHeaders(header)
	header.Del("Content-Length")
	target := c.w.Header()
	for name, values := range header {
		target[name] = values
	}
}

// passPlain passes an answer on that is no stream.
func (c *call) passPlain(exchange *passthrough.Exchange) error {
	resp := exchange.Response
	var buffered bytes.Buffer
	n, err := io.CopyN(&buffered, exchange.Body, bufferedAnswerBytes+1)
	c.answering()
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	c.copyHead(resp)
	whole := n <= bufferedAnswerBytes
	if whole {
		c.w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	} else if resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.begin(resp.StatusCode)
	if _, err := c.w.Write(buffered.Bytes()); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if whole {
		return nil
	}
	if _, err := io.Copy(c.w, exchange.Body); err != nil {
		return fmt.Errorf("answer broken off: %w", err)
	}
	return nil
}

// begin sends the head of the answer.
func (c *call) begin(status int) {
	c.began = true
	c.first = time.Since(c.arrived)
	c.w.WriteHeader(status)
}

// passStream passes the events of a stream on as they arrive. It stops at the last
// whole event when the server breaks off.
func (c *call) passStream(exchange *passthrough.Exchange) error {
	flusher := http.NewResponseController(c.w)
	events := newEventReader(exchange.Body)
	for {
		ev, err := events.next()
		c.answering()
		if errors.Is(err, io.EOF) {
			return c.endStream(exchange)
		}
		if err != nil {
			return err
		}
		if !c.began {
			c.copyHead(exchange.Response)
			c.begin(exchange.Response.StatusCode)
		}
		if err := c.passEvent(ev, flusher); err != nil {
			return err
		}
	}
}

// endStream checks that a stream that ended is the whole one.
func (c *call) endStream(exchange *passthrough.Exchange) error {
	if !c.began {
		c.copyHead(exchange.Response)
		c.begin(exchange.Response.StatusCode)
	}
	return nil
}

func (c *call) passEvent(ev event, flusher *http.ResponseController) error {
	if ev.id != "" {
		c.meta.LastEventID = ev.id
	}
	if ev.text {
		c.events++
		if c.route.KeepTurns {
			c.output.Write(ev.data)
			c.output.WriteByte('\n')
		}
	}
	if _, err := c.w.Write(ev.raw); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if err := flusher.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}
