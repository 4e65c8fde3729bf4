// Package outputlimit decides how much of the answers of its backend server a sidecar keeps.
//
// It answers servers whose answers have no end, and many large answers at once. An answer that
// cannot be recorded is ended as soon as this is known. Together the answers are bounded so that
// a few large ones cannot take the memory of many small ones: each running answer may always
// have its part of half of the total, and beyond it what the others leave. New calls are refused
// while the rest is used up, before any running one is ended. Decisions are pure functions of
// their inputs.
package outputlimit

// Limits bound the answers that are kept, in bytes.
type Limits struct {
	Answer int64 // one answer
	Total  int64 // all answers, except the parts that Fits always leaves to running ones
}

// admitDivisor divides the total into the part up to which new calls are admitted, and
// reservedDivisor into the part that is shared equally among running answers.
const (
	admitDivisor    = 2
	reservedDivisor = 2
)

// Held is what is kept at one time.
type Held struct {
	Total   int64 // bytes of all answers, ended ones included
	Running int   // answers that may still grow
}

// Admits reports whether another call may begin.
func (l Limits) Admits(h Held) bool { return h.Total <= l.Total/admitDivisor }

// Fits reports whether an answer may grow to the given size, which h includes. The answers never
// hold more than Total and its reserved part together.
func (l Limits) Fits(size int64, h Held) bool {
	if size > l.Answer {
		return false
	}
	return h.Total <= l.Total || size <= l.Total/reservedDivisor/int64(max(1, h.Running))
}

// Excess returns how many bytes of ended answers should be dropped before their time, so that
// new calls are admitted.
func (l Limits) Excess(h Held) int64 { return max(0, h.Total-l.Total/admitDivisor) }
