package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"ibistray.example/ibistray/internal/passthrough"
	"ibistray.example/ibistray/internal/policy/resume"
)

// maxBufferedResponseBytes is the largest response body that is read in full before
// any of it is forwarded, so that the request can be retried if the response breaks.
const maxBufferedResponseBytes = 64 << 10

const (
	// maxOpenEndedBytes limits a response body whose length the server does not state.
	maxOpenEndedBytes = 16 << 20
	// maxRefusalBytes limits the body of a response that says that the request was not run,
	// which is not forwarded.
	maxRefusalBytes = 64 << 10
)

var errResponseTooLarge = fmt.Errorf("gateway: body without a stated length is larger than %d bytes", maxOpenEndedBytes)

// copyHeaders copies the server's end-to-end headers to the client's response.
func (c *call) copyHeaders(resp *http.Response) {
	header := resp.Header.Clone()
	removeHopByHopHeaders(header)
	header.Del("Content-Length")
	dst := c.w.Header()
	for name, values := range header {
		dst[name] = values
	}
}

// forwardPlain forwards a response that is not an event stream. It returns an error that
// wraps errClientGone if the first write to the client fails.
func (c *call) forwardPlain(exchange *passthrough.Exchange) error {
	resp := exchange.Response
	var buffer bytes.Buffer
	err := c.bufferResponse(&buffer, exchange)
	inTime := c.stopSilenceTimers()
	buffered := errors.Is(err, io.EOF)
	if err != nil && !buffered {
		return err
	}
	if !inTime && !buffered {
		return fmt.Errorf("%w: %w", errSilent, passthrough.ErrConnectionLost)
	}
	c.copyHeaders(resp)
	if buffered {
		c.w.Header().Set("Content-Length", strconv.Itoa(buffer.Len()))
		// The client may read slowly, which the server need not wait for.
		exchange.Close(true)
	} else if resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.writeStatus(resp.StatusCode)
	if _, err := c.w.Write(buffer.Bytes()); err != nil {
		return fmt.Errorf("%w: %w", errClientGone, err)
	}
	if buffered {
		return nil
	}
	if err := c.forwardRest(exchange); err != nil {
		return fmt.Errorf("gateway: response interrupted: %w", err)
	}
	return nil
}

// forwardRest forwards the part of a body that follows the buffered one.
func (c *call) forwardRest(exchange *passthrough.Exchange) error {
	if exchange.Response.ContentLength >= 0 {
		_, err := io.Copy(pacedWriter{c}, exchange.Body)
		return err
	}
	n, err := io.Copy(pacedWriter{c}, io.LimitReader(exchange.Body, maxOpenEndedBytes))
	if err == nil && n == maxOpenEndedBytes {
		return errResponseTooLarge
	}
	return err
}

// writeStatus sends the status line and the headers to the client.
func (c *call) writeStatus(status int) {
	c.ignoreShutdown()
	c.responseStarted = true
	c.status = status
	c.firstOutput = time.Since(c.arrived)
	c.w.WriteHeader(status)
}

// forwardStream forwards the events of a stream as they arrive. If the stream is interrupted,
// the client has received only complete events. It returns errNotResumed if the server
// repeats events that the client has, or sends anything but the events that follow them.
func (c *call) forwardStream(exchange *passthrough.Exchange) error {
	events := newEventReader(exchange.Body)
	resumed := c.route.ResumableStream() && (c.meta.LastEventID != "" || c.record.repeatUntil != "")
	if resumed && !isEventStream(exchange.Response) {
		return fmt.Errorf("%w: content type %q", errNotResumed, exchange.Response.Header.Get("Content-Type"))
	}
	var comments []byte // received before the first event with data
	var batch []event   // to be recorded and sent together
	continued := false  // the exchange brought an event with data
	lastID := c.meta.LastEventID
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			c.stopSilenceTimers()
			if c.responseStarted && !continued && !provesEndOfStream(exchange.Response) {
				return fmt.Errorf("%w: a response without events", errNotResumed)
			}
			return c.finishStream(exchange, comments)
		}
		if err != nil {
			return err
		}
		if !ev.hasData && !c.responseStarted {
			// A comment is no output: until there is some, another server may still answer.
			comments = append(comments, ev.raw...)
			continue
		}
		if ev.hasData {
			if resumed && !continued && ev.id == "" {
				return fmt.Errorf("%w: the first event has no ID", errNotResumed)
			}
			if !continued {
				c.attemptOutput = time.Since(c.attemptStarted)
			}
			continued = true
			if !c.stopSilenceTimers() && !c.responseStarted {
				return fmt.Errorf("%w: %w", errSilent, passthrough.ErrConnectionLost)
			}
		}
		if ev.id != "" {
			if resumed && !resume.IsLater(ev.id, lastID) {
				return fmt.Errorf("%w: event %q follows %q", errNotResumed, ev.id, lastID)
			}
			lastID = ev.id
		}
		batch = append(batch, ev)
		if c.record.active && events.hasNext() {
			continue
		}
		c.recordEvents(batch)
		for _, ev := range batch {
			if c.repeats(ev) {
				err = c.takeRepeated(ev)
			} else {
				err = c.sendEvent(exchange, ev, &comments)
			}
			if err != nil {
				return err
			}
		}
		batch = batch[:0]
	}
}

// sendEvent sends an event to the client, after the headers and the comments that precede the first
// one.
func (c *call) sendEvent(exchange *passthrough.Exchange, ev event, comments *[]byte) error {
	if !c.responseStarted {
		c.copyHeaders(exchange.Response)
		c.writeStatus(exchange.Response.StatusCode)
		ev.raw = append(*comments, ev.raw...)
		*comments = nil
	}
	if err := c.forwardEvent(ev); err != nil {
		return err
	}
	c.pace(len(ev.raw))
	return nil
}

// provesEndOfStream reports whether a response without events shows that the stream which it
// resumes had ended: it is an event stream, and its end is marked by the last chunk.
func provesEndOfStream(resp *http.Response) bool {
	return isEventStream(resp) && len(resp.TransferEncoding) > 0
}

func isEventStream(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// finishStream completes the response of a stream that ended normally. If the stream had no
// events with data, it sends the headers and the comments. It returns errNotResumed if the server has
// not repeated all events that the client holds.
func (c *call) finishStream(exchange *passthrough.Exchange, comments []byte) error {
	if c.record.repeatUntil != "" {
		return fmt.Errorf("%w: the stream ends before event %q", errNotResumed, c.record.repeatUntil)
	}
	if c.responseStarted {
		return nil
	}
	c.copyHeaders(exchange.Response)
	c.writeStatus(exchange.Response.StatusCode)
	if _, err := c.w.Write(comments); err != nil {
		return fmt.Errorf("%w: %w", errClientGone, err)
	}
	return nil
}

// forwardEvent sends an event to the client and records it for the ledger.
func (c *call) forwardEvent(ev event) error {
	if ev.hasData {
		if err := c.keepOutput(ev); err != nil {
			return err
		}
		c.eventsSent++
		c.lastSentHasNoID = ev.id == ""
	}
	if ev.id != "" {
		c.meta.LastEventID = ev.id
	}
	if _, err := c.w.Write(ev.raw); err != nil {
		return fmt.Errorf("%w: %w", errClientGone, err)
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return fmt.Errorf("%w: %w", errClientGone, err)
	}
	return nil
}
