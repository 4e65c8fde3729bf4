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
	// promptBytes is the length of a call's message.
	promptBytes = 400
)

var errBadAnswer = errors.New("the answer is not whole")

// Sample is the latency of one call.
type Sample struct {
	FirstOutput time.Duration // to the first output
	Total       time.Duration // to the end marker
	Chunks      int           // events with output
}

// Caller makes calls. It is safe for concurrent use.
type Caller struct {
	http *client.Client
	next atomic.Uint64 // number of the next call, for unique names
}

// NewCaller returns a caller.
func NewCaller() (*Caller, error) {
	library, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithClientReadTimeout(callTimeout),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithResponseBodyStream(true),
	)
	if err != nil {
		return nil, fmt.Errorf("new caller: %w", err)
	}
	return &Caller{http: library}, nil
}

// chatMessage and chatBody are the JSON of a model call.
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
	content := id + " " + strings.Repeat("x", promptBytes-len(id))
	return chatBody{
		Model:     Model,
		Messages:  []chatMessage{{Role: "user", Content: content}},
		MaxTokens: maxTokens,
		Stream:    true,
	}
}

// CallEngine calls a fake engine without the system.
func (c *Caller) CallEngine(engine string, maxTokens int) (Sample, error) {
	id := "direct-" + strconv.FormatUint(c.next.Add(1), 10)
	body := newChatBody(id, maxTokens)
	body.User = id
	return c.stream(engine, map[string]string{"X-Request-Id": id}, body)
}

// CallNewProgram calls through an entry: the first call of a new program.
func (c *Caller) CallNewProgram(entry, customer string, maxTokens int) (Sample, error) {
	program := "p-" + strconv.FormatUint(c.next.Add(1), 10)
	return c.CallProgram(entry, customer, program, 1, maxTokens)
}

// CallProgram makes one call of a program through an entry.
func (c *Caller) CallProgram(entry, customer, program string, turn, maxTokens int) (Sample, error) {
	id := program + "-" + strconv.Itoa(turn)
	headers := map[string]string{
		consts.HeaderAuthorization: "Bearer " + customerKey(customer),
		"Ibistray-Program":         program,
		"Ibistray-Call":            id,
	}
	return c.stream(entry, headers, newChatBody(id, maxTokens))
}

func (c *Caller) stream(base string, headers map[string]string, body chatBody) (Sample, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Sample{}, err
	}
	request := &protocol.Request{}
	request.SetMethod(consts.MethodPost)
	request.SetRequestURI(base + "/v1/chat/completions")
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

// readSample reads the events of an answer up to its end marker.
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
		return Sample{}, errBadAnswer
	}
	return s, nil
}

// exchange sends a request with a JSON body and returns the answer's.
func (c *Caller) exchange(ctx context.Context, method, url, key string, body []byte) ([]byte, error) {
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
