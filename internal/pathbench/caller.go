package pathbench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

const (
	dialTimeout    = 2 * time.Second
	callTimeout    = 60 * time.Second
	maxConnections = 4096
	adminTimeout   = 15 * time.Second
	doneMarker     = "[DONE]"
	errorEvent     = "error"
	// messageBytes is the length of the message of a call, apart from one space.
	messageBytes = 400
)

var errIncompleteAnswer = errors.New("call: the answer ended without the end marker")

// Sample holds the latencies of one call, measured from the start of the request.
type Sample struct {
	FirstOutput time.Duration // to the first event with output
	Total       time.Duration // to the end marker
	Chunks      int           // number of events with output
}

// Caller is a client of entries and engines. It is safe for concurrent use.
type Caller struct {
	http *client.Client
	next atomic.Uint64 // counter for unique call and program names
}

// NewCaller returns a Caller.
func NewCaller() (*Caller, error) {
	httpClient, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithClientReadTimeout(callTimeout),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithResponseBodyStream(true),
	)
	if err != nil {
		return nil, fmt.Errorf("new caller: %w", err)
	}
	return &Caller{http: httpClient}, nil
}

// chatMessage and chatBody are the JSON body of a model call.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	User      string        `json:"user,omitempty"`
}

func newChatBody(id string, maxTokens int) chatBody {
	content := id + " " + strings.Repeat("x", messageBytes-len(id))
	return chatBody{
		Model:     Model,
		Messages:  []chatMessage{{Role: "user", Content: content}},
		MaxTokens: maxTokens,
		Stream:    true,
	}
}

// CallEngine sends a model call to the fake engine at engineURL, bypassing the
// system.
func (c *Caller) CallEngine(engineURL string, maxTokens int) (Sample, error) {
	id := "direct-" + strconv.FormatUint(c.next.Add(1), 10)
	body := newChatBody(id, maxTokens)
	body.User = id
	return c.streamCall(engineURL, map[string]string{"X-Request-Id": id}, body)
}

// CallNewProgram starts a new program at the entry at entryURL and makes its first
// call.
func (c *Caller) CallNewProgram(entryURL, customer string, maxTokens int) (Sample, error) {
	program := "p-" + strconv.FormatUint(c.next.Add(1), 10)
	return c.CallProgram(entryURL, customer, program, 1, maxTokens)
}

// CallProgram makes the call with the given turn number of a program at the entry
// at entryURL.
func (c *Caller) CallProgram(entryURL, customer, program string, turn, maxTokens int) (Sample, error) {
	id := program + "-" + strconv.Itoa(turn)
	headers := map[string]string{
		consts.HeaderAuthorization: "Bearer " + customerKey(customer),
		"Ibistray-Program":         program,
		"Ibistray-Call":            id,
	}
	return c.streamCall(entryURL, headers, newChatBody(id, maxTokens))
}

// streamCall sends a model call and reads its streamed answer.
func (c *Caller) streamCall(baseURL string, headers map[string]string, body chatBody) (Sample, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Sample{}, err
	}
	request := &protocol.Request{}
	request.SetMethod(consts.MethodPost)
	request.SetRequestURI(baseURL + "/v1/chat/completions")
	request.SetHeader(consts.HeaderContentType, consts.MIMEApplicationJSON)
	for name, value := range headers {
		request.SetHeader(name, value)
	}
	request.SetBody(data)
	response := &protocol.Response{}
	start := time.Now()
	if err := c.http.Do(context.Background(), request, response); err != nil {
		return Sample{}, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = response.CloseBodyStream() }()
	if response.StatusCode() != consts.StatusOK {
		text, _ := io.ReadAll(response.BodyStream())
		return Sample{}, fmt.Errorf("call: status %d: %s", response.StatusCode(), text)
	}
	return readSample(response, start)
}

// readSample reads the events of an answer up to the end of the stream. It returns
// errIncompleteAnswer if the stream ends without the end marker.
func readSample(response *protocol.Response, start time.Time) (Sample, error) {
	reader, err := sse.NewReader(response)
	if err != nil {
		return Sample{}, fmt.Errorf("call: %w", err)
	}
	event := sse.NewEvent()
	defer event.Release()
	var s Sample
	done := false
	for {
		err := reader.Read(event)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return Sample{}, fmt.Errorf("call: %w", err)
		}
		if event.Type == errorEvent {
			return Sample{}, fmt.Errorf("call: %s", event.Data)
		}
		switch {
		case len(event.Data) == 0:
		case string(event.Data) == doneMarker:
			done = true
			s.Total = time.Since(start)
		default:
			s.Chunks++
			if s.Chunks == 1 {
				s.FirstOutput = time.Since(start)
			}
		}
	}
	if !done {
		return Sample{}, errIncompleteAnswer
	}
	return s, nil
}

// sendRequest sends a request with an optional customer or operator key and an
// optional JSON body. It returns the response body, or an error for any status
// other than 200.
func (c *Caller) sendRequest(ctx context.Context, method, url, key string, body []byte) ([]byte, error) {
	request := &protocol.Request{}
	request.SetMethod(method)
	request.SetRequestURI(url)
	if key != "" {
		request.SetHeader(consts.HeaderAuthorization, "Bearer "+key)
	}
	if body != nil {
		request.SetHeader(consts.HeaderContentType, consts.MIMEApplicationJSON)
		request.SetBody(body)
	}
	response := &protocol.Response{}
	if err := c.http.DoTimeout(ctx, request, response, adminTimeout); err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	defer func() { _ = response.CloseBodyStream() }()
	data, err := io.ReadAll(response.BodyStream())
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	if response.StatusCode() != consts.StatusOK {
		return nil, fmt.Errorf("%s %s: status %d: %s", method, url, response.StatusCode(), data)
	}
	return data, nil
}
