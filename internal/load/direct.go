package load

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// directBody is the JSON body of a model call that an engine accepts. User names
// the program.
type directBody struct {
	modelBody
	User string `json:"user"`
}

// CallEngine sends a model call to the engine at the first base URL, bypassing
// the system, without retries. It is the baseline for the latency that the system
// adds. It reads the answer up to the end marker, and can't check its content
// because an engine sends no receipt.
func (c *Client) CallEngine(ctx context.Context, call ModelCall) error {
	body, err := json.Marshal(directBody{modelBody{call.Model, call.Messages, call.MaxTokens, true}, call.Program})
	if err != nil {
		return fmt.Errorf("direct call %s: %w", call.CallID, err)
	}
	headers := map[string]string{
		consts.HeaderContentType: consts.MIMEApplicationJSON,
		"X-Request-Id":           call.CallID,
	}
	response, err := c.send(ctx, c.config.BaseURLs[0], httpRequest{path: "/v1/chat/completions", headers: headers, body: body})
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
