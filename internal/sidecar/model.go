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
	resumeTries    = 3
	resumeInterval = 200 * time.Millisecond
	cancelTimeout  = 2 * time.Second
)

// askModel runs one model call and keeps its output. A connection that breaks or
// goes silent is resumed on a new one at the byte reached; the engine is taken
// for dead only when that fails too.
func (s *Sidecar) askModel(ctx context.Context, a *attempt) (*shardpb.Answer, error) {
	chat, err := s.chatRequest(a.request)
	if err != nil {
		return nil, err
	}
	chat.RequestID = requestID(a)
	usage, err := s.chat(ctx, a, chat)
	if err != nil {
		return nil, err
	}
	s.countUsage(usage)
	return answerOf(a, usage)
}

// chat runs the call on the engine and reads its output to the end.
func (s *Sidecar) chat(ctx context.Context, a *attempt, chat *backend.ChatRequest) (*backend.Usage, error) {
	stream, err := s.backend.Chat(ctx, chat)
	if errors.Is(err, backend.ErrConnectionLost) {
		stream, err = s.resume(ctx, a, err)
	}
	if err != nil {
		return nil, err
	}
	usage, err := s.read(ctx, a, stream)
	if err != nil {
		s.cancelRequest(chat.RequestID)
	}
	return usage, err
}

func (s *Sidecar) chatRequest(req *rpcpb.RunRequest) (*backend.ChatRequest, error) {
	id := callIDOf(req.Key).programID()
	messages, err := s.messages(id, req)
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

// messages returns the whole prompt: the program's history and the new messages.
func (s *Sidecar) messages(id programID, req *rpcpb.RunRequest) ([]json.RawMessage, error) {
	history, ok := s.programs.get(id, req.HistoryDigest)
	if !ok {
		var err error
		if history, err = decodeMessages(req.History); err != nil {
			return nil, fmt.Errorf("sidecar: decode history: %w", err)
		}
		s.programs.put(id, req.HistoryDigest, history)
	}
	added, err := decodeMessages(req.Body)
	if err != nil {
		return nil, fmt.Errorf("sidecar: decode messages: %w", err)
	}
	return append(history[:len(history):len(history)], added...), nil
}

// read takes the stream to its end. Errors: those of the backend package.
func (s *Sidecar) read(ctx context.Context, a *attempt, stream *backend.Stream) (*backend.Usage, error) {
	var usage *backend.Usage
	for {
		u, err := readUntilBreak(ctx, a, stream)
		if u != nil {
			usage = u
		}
		if errors.Is(err, io.EOF) {
			return usage, nil
		}
		if !errors.Is(err, backend.ErrConnectionLost) || ctx.Err() != nil {
			return nil, err
		}
		if stream, err = s.resume(ctx, a, err); err != nil {
			return nil, err
		}
	}
}

// readUntilBreak reads until the stream ends (io.EOF) or fails. It closes the
// stream.
func readUntilBreak(ctx context.Context, a *attempt, stream *backend.Stream) (*backend.Usage, error) {
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
		if chunk.Text != "" {
			a.append(chunk.Text)
		}
	}
}

// resume opens the output at the byte reached, on a new connection. It returns
// the cause when the engine no longer answers or no longer knows the request.
func (s *Sidecar) resume(ctx context.Context, a *attempt, cause error) (*backend.Stream, error) {
	for range resumeTries {
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
		if !loop.Sleep(ctx, resumeInterval) {
			return nil, cause
		}
	}
	return nil, cause
}

// answerOf returns the whole answer of a model call.
func answerOf(a *attempt, usage *backend.Usage) (*shardpb.Answer, error) {
	body, err := json.Marshal(message{Role: "assistant", Content: string(a.state(0).text)})
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
		Status: statusOK,
		Digest: digest[:],
	}, nil
}

const statusOK = 200

// message is a chat message of plain text.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *Sidecar) countUsage(usage *backend.Usage) {
	s.metrics.PromptTokens.Add(float64(usage.PromptTokens))
	s.metrics.CachedTokens.Add(float64(usage.PromptDetails.CachedTokens))
	s.metrics.OutputTokens.Add(float64(usage.CompletionTokens))
}

// cancelRequest stops a request that this sidecar has given up on.
func (s *Sidecar) cancelRequest(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.backend.Cancel(ctx, id); err != nil {
		s.log.Debug("request could not be cancelled", "request", id, "error", err)
	}
}
