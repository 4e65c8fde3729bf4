package sidecar

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"ibistray.example/ibistray/internal/backend"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

const (
	maxResumeTries   = 3
	resumeRetryDelay = 200 * time.Millisecond
	cancelTimeout    = 2 * time.Second
)

// runModelCall runs one model call and appends its output to the attempt. If the
// connection is lost or times out, it resumes the output on a new connection at the byte
// reached. Only if that fails too does the engine count as crashed.
func (s *Sidecar) runModelCall(ctx context.Context, a *attempt) (*shardpb.Answer, error) {
	chat, err := s.newChatRequest(a.request)
	if err != nil {
		return nil, err
	}
	chat.RequestID = requestID(a)
	usage, err := s.runChat(ctx, a, chat)
	if err != nil {
		return nil, err
	}
	s.countUsage(usage)
	return newModelAnswer(a, usage)
}

// runChat sends the call to the engine and reads its output to the end. It cancels the call
// on the engine if reading fails.
func (s *Sidecar) runChat(ctx context.Context, a *attempt, chat *backend.ChatRequest) (*backend.Usage, error) {
	stream, err := s.backend.Chat(ctx, chat)
	if errors.Is(err, backend.ErrConnectionLost) && !errors.Is(err, backend.ErrTooLarge) {
		stream, err = s.resume(ctx, a, err)
	}
	if err != nil {
		return nil, err
	}
	usage, err := s.readOutput(ctx, a, stream)
	if err != nil {
		s.cancelRequest(chat.RequestID)
	}
	return usage, err
}

func (s *Sidecar) newChatRequest(req *rpcpb.RunRequest) (*backend.ChatRequest, error) {
	id := callIDOf(req.Key).programID()
	messages, err := s.promptMessages(id, req)
	if err != nil {
		return nil, err
	}
	return &backend.ChatRequest{
		FencingToken: req.Fence,
		Model:        req.Model,
		Parameters:   req.Parameters,
		Messages:     messages,
		MaxTokens:    req.MaxOutputTokens,
		Priority:     req.Priority,
		User:         id.String(),
	}, nil
}

// promptMessages returns the whole prompt: the history of the program and the messages of
// the request. The history comes from the cache, or else from the request.
func (s *Sidecar) promptMessages(id programID, req *rpcpb.RunRequest) ([]json.RawMessage, error) {
	history, ok := s.histories.get(id, req.HistoryDigest)
	if !ok {
		var err error
		if history, err = decodeMessages(req.History); err != nil {
			return nil, fmt.Errorf("sidecar: decode history: %w", err)
		}
		s.histories.put(id, req.HistoryDigest, history)
	}
	added, err := decodeMessages(req.Body)
	if err != nil {
		return nil, fmt.Errorf("sidecar: decode messages: %w", err)
	}
	return append(history[:len(history):len(history)], added...), nil
}

// readOutput reads the output to its end and resumes the stream after lost connections. A
// connection that carried as much as it may must have brought output. Errors: those of the backend
// package, errAnswerTooLarge.
func (s *Sidecar) readOutput(ctx context.Context, a *attempt, stream *backend.Stream) (*backend.Usage, error) {
	var usage *backend.Usage
	for {
		start := a.outputBytes()
		u, err := readStream(ctx, a, stream)
		if u != nil {
			usage = u
		}
		if errors.Is(err, io.EOF) {
			return usage, nil
		}
		if !errors.Is(err, backend.ErrConnectionLost) || ctx.Err() != nil {
			return nil, err
		}
		if errors.Is(err, backend.ErrTooLarge) && a.outputBytes() == start {
			return nil, err
		}
		if stream, err = s.resume(ctx, a, err); err != nil {
			return nil, err
		}
	}
}

// readStream appends the output of a stream to the attempt until the stream ends (io.EOF)
// or fails. It closes the stream.
func readStream(ctx context.Context, a *attempt, stream *backend.Stream) (*backend.Usage, error) {
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	var usage *backend.Usage
	for {
		chunk, err := stream.Next()
		if err != nil {
			return usage, err
		}
		if chunk.Usage != nil {
			usage = chunk.Usage
		}
		if chunk.Text == "" {
			continue
		}
		if err := a.appendOutput(chunk.Text); err != nil {
			return usage, err
		}
	}
}

// resume reopens the output at the byte reached, on a new connection. If the engine no
// longer responds or no longer knows the request, it returns cause or an error that wraps
// it.
func (s *Sidecar) resume(ctx context.Context, a *attempt, cause error) (*backend.Stream, error) {
	for range maxResumeTries {
		s.metrics.Retries.WithLabelValues("resume_stream").Inc()
		stream, err := s.backend.Resume(ctx, requestID(a), a.outputBytes())
		if err == nil {
			return stream, nil
		}
		if errors.Is(err, backend.ErrUnknownRequest) {
			return nil, fmt.Errorf("%w: %w", err, cause)
		}
		if ctx.Err() != nil {
			return nil, cause
		}
		if !loop.Sleep(ctx, resumeRetryDelay) {
			return nil, cause
		}
	}
	return nil, cause
}

// newModelAnswer returns the answer of a model call, whose body is one assistant message
// with the whole output.
func newModelAnswer(a *attempt, usage *backend.Usage) (*shardpb.Answer, error) {
	body, err := json.Marshal(message{Role: "assistant", Content: string(a.state(0).output)})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", backend.ErrInvalidResponse, err)
	}
	digest := sha256.Sum256(body)
	return &shardpb.Answer{
		Body: body,
		Usage: &shardpb.Usage{
			PromptTokens:     usage.PromptTokens,
			CachedTokens:     usage.PromptDetails.CachedTokens,
			CompletionTokens: usage.CompletionTokens,
		},
		Status: answerStatusOK,
		Digest: digest[:],
	}, nil
}

const answerStatusOK = 200

// message is a chat message with plain text.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// countUsage adds the tokens of a call to the metrics.
func (s *Sidecar) countUsage(usage *backend.Usage) {
	s.metrics.PromptTokens.Add(float64(usage.PromptTokens))
	s.metrics.CachedPromptTokens.Add(float64(usage.PromptDetails.CachedTokens))
	s.metrics.OutputTokens.Add(float64(usage.CompletionTokens))
}

// cancelRequest cancels a request whose output is no longer read on the backend server.
func (s *Sidecar) cancelRequest(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.backend.Cancel(ctx, id); err != nil {
		s.log.Debug("request could not be cancelled", "request", id, "error", err)
	}
}
