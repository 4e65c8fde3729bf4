package retain

import (
	"cmp"
	"slices"
	"time"
)

// Rates are what a move is weighed by, in tokens per second.
type Rates struct {
	Transfer float64 // export, transfer and import together
	Prefill  float64 // of the engine that would recompute the prefix
}

// PlanMoves returns the programs whose prefixes to move, in this order, one
// after the other, before a planned stop that ends the server in stopIn. A
// prefix moves only if moving takes less time than recomputing it, weighted by
// the chance that the program comes back, and if it fits before the stop. Busy
// programs are left out; plan again once their calls have ended.
func PlanMoves(times *ToolPauses, holds []Hold, rates Rates, stopIn, now time.Duration) []string {
	var paying []candidate
	for i := range holds {
		h := &holds[i]
		if h.expired(now) == "" && !h.Busy && movePays(times, h, rates, now) {
			paying = append(paying, candidate{h, score(times, h, now)})
		}
	}
	slices.SortFunc(paying, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.hold.Program, b.hold.Program))
	})
	var programs []string
	left := stopIn.Seconds()
	for _, c := range paying {
		transfer := float64(c.hold.Tokens) / rates.Transfer
		if transfer > left {
			continue
		}
		left -= transfer
		programs = append(programs, c.hold.Program)
	}
	return programs
}

func movePays(times *ToolPauses, h *Hold, rates Rates, now time.Duration) bool {
	if rates.Transfer <= 0 || rates.Prefill <= 0 {
		return false
	}
	_, chance := times.Remaining(h.Tool, now-h.PausedAt)
	tokens := float64(h.Tokens)
	return tokens/rates.Transfer < chance*tokens/rates.Prefill
}
