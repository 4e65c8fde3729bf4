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
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

const (
	resumeTries    = 3
	resumeInterval = 200 * time.Millisecond
	cancelTimeout  = 2 * time.Second
)

// runModel runs one model call and keeps its output. A connection that breaks
// or goes silent is resumed on a new one at the byte reached; the engine is
// taken for dead only when that fails too.
func (s *Sidecar) runModel(ctx context.Context, a *attempt) {
	chat, err := s.chatRequest(a.request)
	if err != nil {
		a.fail(refusal(rpcpb.RunRefusal_RUN_REFUSAL_BAD_ANSWER, true, err.Error()))
		return
	}
	chat.RequestID = requestID(a)
	group := s.crashes.join(a)
	defer group.leave(a)
	usage, err := s.chat(ctx, a, chat)
	if err != nil {
		a.fail(s.modelFailure(ctx, a, group, err))
		return
	}
	s.finishModel(a, usage)
}

// chat runs the call on the engine and reads its output to the end.
func (s *Sidecar) chat(ctx context.Context, a *attempt, chat *backend.ChatRequest) (*backend.Usage, error) {
	stream, err := s.backend.Chat(ctx, chat)
	if errors.Is(err, backend.ErrBroken) {
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

// modelFailure turns an error of the engine. When the engine died, the death is
// on record before anybody can send the request to another server.
func (s *Sidecar) modelFailure(ctx context.Context, a *attempt, group *crashGroup, err error) *rpcpb.RunRefused {
	refused := serverFailure(ctx, err)
	if refused.Reason != rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DIED {
		return refused
	}
	if !s.engineDied(err) {
		refused.Reason = rpcpb.RunRefusal_RUN_REFUSAL_SERVER_ERROR
		return refused
	}
	s.log.Warn("engine died", "running", group.size(), "request", requestID(a))
	if group.report(a.request.Fingerprint) {
		refused.Reason = rpcpb.RunRefusal_RUN_REFUSAL_QUARANTINED
	}
	return refused
}

// engineDied reports whether the engine that ran a request is gone: it does not
// answer, or it has been started anew and does not know the request.
func (s *Sidecar) engineDied(err error) bool {
	if errors.Is(err, backend.ErrUnknownRequest) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return s.backend.Health(ctx) != nil
}

func (s *Sidecar) chatRequest(req *rpcpb.RunRequest) (*backend.ChatRequest, error) {
	id := callIDOf(req.Key).programID()
	messages, err := s.messages(id, req)
	if err != nil {
		return nil, err
	}
	return &backend.ChatRequest{
		Fencing:    req.Epoch<<20 | req.Attempt,
		Model:      req.Model,
		Parameters: req.Parameters,
		Messages:   messages,
		MaxTokens:  req.MaxOutputTokens,
		Priority:   req.Priority,
		User:       id.String(),
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
		if !errors.Is(err, backend.ErrBroken) || ctx.Err() != nil {
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
		if !sleep(ctx, resumeInterval) {
			return nil, cause
		}
	}
	return nil, cause
}

func (s *Sidecar) finishModel(a *attempt, usage *backend.Usage) {
	text := string(a.state(0).text)
	body, err := json.Marshal(message{Role: "assistant", Content: text})
	if err != nil {
		a.fail(refusal(rpcpb.RunRefusal_RUN_REFUSAL_BAD_ANSWER, false, err.Error()))
		return
	}
	digest := sha256.Sum256(body)
	cached := usage.PromptDetails.CachedTokens
	s.countUsage(a, usage)
	if a.alone {
		s.clearSuspect(a)
	}
	a.finish(&shardpb.Answer{
		Body: body,
		Usage: &shardpb.Usage{
			PromptTokens:     usage.PromptTokens,
			CachedTokens:     cached,
			CompletionTokens: usage.CompletionTokens,
		},
		Status: 200,
		Digest: digest[:],
	})
}

// message is a chat message of plain text.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *Sidecar) countUsage(a *attempt, usage *backend.Usage) {
	s.metrics.PromptTokens.Add(float64(usage.PromptTokens))
	s.metrics.CachedTokens.Add(float64(usage.PromptDetails.CachedTokens))
	s.metrics.OutputTokens.Add(float64(usage.CompletionTokens))
	s.holds.touch(a.id.programID(), usage.PromptTokens+usage.CompletionTokens, time.Now())
}

// cancelRequest stops a request that this sidecar has given up on.
func (s *Sidecar) cancelRequest(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.backend.Cancel(ctx, id); err != nil {
		s.log.Debug("request could not be cancelled", "request", id, "error", err)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
