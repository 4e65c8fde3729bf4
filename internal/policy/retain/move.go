package retain

import (
	"cmp"
	"slices"
	"time"
)

// Rates holds the rates that decide whether a move pays off, in tokens per second.
type Rates struct {
	Transfer float64 // of export, transfer and import together
	Prefill  float64 // of the engine that would recompute the prefix
}

// PlanMoves returns the programs whose prefixes should be moved to other servers, one
// at a time and in this order, before the server stops in stopIn as planned. A prefix
// is moved only if that takes less time than the expected recomputation (the time to
// recompute it times the probability that the program resumes) and ends before the
// stop. Busy programs are left out; plan again once their calls have ended.
func PlanMoves(pauses *ToolPauses, holds []Hold, rates Rates, stopIn, now time.Duration) []string {
	var candidates []candidate
	for i := range holds {
		h := &holds[i]
		if h.releaseReason(now) == "" && !h.Busy && worthMoving(pauses, h, rates, now) {
			candidates = append(candidates, candidate{h, score(pauses, h, now)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.hold.Program, b.hold.Program))
	})
	var programs []string
	remaining := stopIn.Seconds()
	for _, c := range candidates {
		transfer := float64(c.hold.Tokens) / rates.Transfer
		if transfer > remaining {
			continue
		}
		remaining -= transfer
		programs = append(programs, c.hold.Program)
	}
	return programs
}

// worthMoving reports whether moving the prefix takes less time than the expected
// recomputation.
func worthMoving(pauses *ToolPauses, h *Hold, rates Rates, now time.Duration) bool {
	if rates.Transfer <= 0 || rates.Prefill <= 0 {
		return false
	}
	_, probability := pauses.Remaining(h.Tool, now-h.PausedAt)
	tokens := float64(h.Tokens)
	return tokens/rates.Transfer < probability*tokens/rates.Prefill
}
