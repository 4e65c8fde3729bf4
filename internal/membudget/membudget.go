// Package membudget counts the bytes that a process holds for its clients against a budget.
package membudget

import (
	"sync/atomic"

	"ibistray.example/ibistray/internal/policy/memory"
)

// Kind says what bytes are held for.
type Kind uint8

// Kinds of bytes.
const (
	Requests    Kind = iota // goroutines, headers and buffers of a running request
	Bodies                  // of requests
	Histories               // earlier turns that are put before a body
	Responses               // parts that the client has not read yet
	KeptOutputs             // event data of turns that are kept when they end
	Kinds                   // number of kinds
)

// String returns the name that metrics use.
func (k Kind) String() string {
	switch k {
	case Requests:
		return "requests"
	case Bodies:
		return "bodies"
	case Histories:
		return "histories"
	case Responses:
		return "responses"
	case KeptOutputs:
		return "outputs"
	case Kinds:
	}
	return "unknown"
}

// Budget limits the bytes that all claims of a process hold together. It is safe for
// concurrent use. A nil budget has no limit and counts nothing.
type Budget struct {
	limit   int64
	held    atomic.Int64
	observe func(kind Kind, bytes int64)
}

// New returns a budget of the given number of bytes. observe is called with each change of
// the bytes of a kind, from any goroutine.
func New(limit int64, observe func(kind Kind, bytes int64)) *Budget {
	return &Budget{limit: limit, observe: observe}
}

// Held returns the bytes that are held.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// Claim is a part of a budget that is held for one request. Its zero value belongs to no
// budget. It is not safe for concurrent use.
type Claim struct {
	budget *Budget
	bytes  [Kinds]int64
}

// NewClaim returns an empty claim on a budget, which may be nil.
func NewClaim(b *Budget) Claim { return Claim{budget: b} }

// Limited reports whether the claim belongs to a budget.
func (c *Claim) Limited() bool { return c.budget != nil }

// Grow adds bytes of a kind to the claim. It returns false and changes nothing if the class
// may not use as much of the budget.
func (c *Claim) Grow(kind Kind, bytes int64, class memory.Class) bool {
	if c.budget == nil {
		return true
	}
	if !memory.Fits(class, c.budget.held.Add(bytes), c.budget.limit) {
		c.budget.held.Add(-bytes)
		return false
	}
	c.bytes[kind] += bytes
	c.budget.observe(kind, bytes)
	return true
}

// Hold adds bytes of a kind that cannot be refused any more. Others are refused instead.
func (c *Claim) Hold(kind Kind, bytes int64) {
	if c.budget == nil {
		return
	}
	c.budget.held.Add(bytes)
	c.bytes[kind] += bytes
	c.budget.observe(kind, bytes)
}

// Release gives all bytes back. The claim can be used again.
func (c *Claim) Release() {
	if c.budget == nil {
		return
	}
	for kind, bytes := range c.bytes {
		if bytes == 0 {
			continue
		}
		c.budget.held.Add(-bytes)
		c.budget.observe(Kind(kind), -bytes)
		c.bytes[kind] = 0
	}
}
