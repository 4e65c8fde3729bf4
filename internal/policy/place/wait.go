package place

import "time"

const (
	// defaultDecodeRate is the decode rate, in tokens per second of one stream,
	// that is assumed until the server reports its own.
	defaultDecodeRate = 30
	// defaultPrefillRate is the prefill rate, in tokens per second, that is assumed
	// until the server reports its own.
	defaultPrefillRate = 5000
)

// EstimateWait estimates the time until a new call would start to run on the server:
// 0 if the batch has room, otherwise the time until enough calls have ended.
func (v *View) EstimateWait(s *Server) time.Duration {
	batch := max(s.Load.BatchLimit, 1)
	excess := s.Outstanding() - batch + 1
	if excess <= 0 {
		return 0
	}
	rate := s.Load.TokensPerSecond
	if rate <= 0 {
		rate = defaultDecodeRate
	}
	secondsPerCall := v.params.MeanOutputTokens / rate / float64(batch)
	return seconds(float64(excess) * secondsPerCall)
}

// prefillTime returns the time in which the server computes a prefix of the given
// length.
func prefillTime(s *Server, tokens int64) time.Duration {
	rate := s.Load.PrefillTokensPerSecond
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return seconds(float64(tokens) / rate)
}

// seconds converts a number of seconds to a duration.
func seconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Second))
}
