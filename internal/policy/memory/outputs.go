package memory

import (
	"cmp"
	"slices"
)

const (
	// MaxOutputBytes is the largest output of a turn that is kept.
	MaxOutputBytes = 4 << 20
	// SmallOutputBytes is what an output may hold although memory is short.
	SmallOutputBytes = 16 << 10
	// outputsShare is the memory for all outputs together, as a share of the budget that other
	// uses have. It is not part of that budget, so outputs turn away no request.
	outputsShare = 0.5
	// commandsShare is the memory for copies of large turns on their way to the ledger, as a share
	// of the same budget and beside it.
	commandsShare = 0.25
	// A stream may bring declaredFactor times the tokens that its request declared as the most,
	// and declaredMargin more.
	declaredFactor = 2
	declaredMargin = 64
)

// OutputsLimit returns the bytes that the outputs of running turns may hold together beside the
// budget of all other uses.
func OutputsLimit(budget int64) int64 { return int64(outputsShare * float64(budget)) }

// CommandsLimit returns the bytes that the copies of large turns that are sent to the ledger may
// hold together beside the budget of all other uses.
func CommandsLimit(budget int64) int64 { return int64(commandsShare * float64(budget)) }

// OutputsToEnd returns the indices of the outputs that are ended so that the others hold at least
// excess bytes less. held are their sizes in bytes. The largest go first, so that a stream without
// end takes no memory from the others. Outputs of up to SmallOutputBytes are not ended, even if
// the excess remains: the budget of running requests limits their number.
func OutputsToEnd(held []int64, excess int64) []int {
	var order []int
	for i, size := range held {
		if size > SmallOutputBytes {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(held[b], held[a]) })
	for n, i := range order {
		if excess <= 0 {
			return order[:n]
		}
		excess -= held[i]
	}
	return order
}

// ExceedsDeclared reports whether a stream of the given number of tokens cannot be the response to
// a request that declared a maximum, 0 for none.
func ExceedsDeclared(tokens, declared uint64) bool {
	return declared > 0 && tokens > declaredMargin && (tokens-declaredMargin)/declaredFactor > declared
}
