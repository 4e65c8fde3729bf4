package load

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// directBody is a model call as an engine takes it.
type directBody struct {
	modelBody
	User string `json:"user"`
}

// CallEngine makes a model call at an engine itself, without the system, once. It
// is the baseline of the system's own latency: the answer is read to its end
// marker, and has no receipt that it could be checked against.
func (c *Client) CallEngine(ctx context.Context, call ModelCall) error {
	body, err := json.Marshal(directBody{modelBody{call.Model, call.Messages, call.MaxTokens, true}, call.Program})
	if err != nil {
		return fmt.Errorf("direct call %s: %w", call.CallID, err)
	}
	headers := map[string]string{
		consts.HeaderContentType: consts.MIMEApplicationJSON,
		"X-Request-Id":           call.CallID,
	}
	response, err := c.send(ctx, c.config.BaseURLs[0], exchange{path: "/v1/chat/completions", headers: headers, body: body})
	if err != nil {
		return fmt.Errorf("direct call %s: %w", call.CallID, err)
	}
	defer func() { _ = response.CloseBodyStream() }()
	reader, err := sse.NewReader(response)
	if err != nil {
		return fmt.Errorf("direct call %s: %w", call.CallID, err)
	}
	done := false
	err = readEvents(reader, func(e *sse.Event) error {
		done = done || string(e.Data) == doneMarker
		return nil
	})
	if err == nil && !done {
		err = ErrIncomplete
	}
	if err != nil {
		return fmt.Errorf("direct call %s: %w", call.CallID, err)
	}
	return nil
}
