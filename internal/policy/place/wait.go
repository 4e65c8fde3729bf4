package place

import "time"

const (
	// defaultDecodeRate is used until a server has reported its own, in tokens
	// per second of one stream.
	defaultDecodeRate = 30
	// defaultPrefillRate is used until a server has reported its own, in tokens
	// per second.
	defaultPrefillRate = 5000
)

// EstimateWait estimates the time until a new call would start to run on the server: 0
// while the batch has room, else the time in which enough calls end.
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

func prefillTime(s *Server, tokens int64) time.Duration {
	rate := s.Load.PrefillTokensPerSecond
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return seconds(float64(tokens) / rate)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
