// Package contract decodes, encodes and validates contract documents, and generates
// customer keys.
package contract

import (
	"crypto/sha256"
	"fmt"
	"regexp"
	"unicode/utf8"

	"ibistray.example/ibistray/proto/shardpb"
)

// Limits of the values in a contract.
const (
	MaxPriority        = 9
	MaxTokens          = 1 << 40                   // of every token count
	MaxPeriodMs        = 366 * 24 * 60 * 60 * 1000 // 366 days
	MinPeriodMs        = 1000
	MaxSharePermille   = 1000 // 100%
	MaxConcurrentCalls = 100_000
	MaxTurns           = 100_000
	MinProgramIdleMs   = 1000
	MaxProgramIdleMs   = 366 * 24 * 60 * 60 * 1000
	MaxModels          = 256
	MaxServices        = 256
	MaxOperations      = 256 // per service
	MaxKeys            = 64
	MaxNameBytes       = 256
	MaxDocumentBytes   = 256 << 10
)

var customerPattern = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)

// FieldError reports an invalid field of a contract.
type FieldError struct {
	Field   string // path like "services[0].name"
	Allowed string // what the field must be
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("contract: %s: must be %s", e.Field, e.Allowed)
}

func newFieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Allowed: fmt.Sprintf(format, args...)}
}

// ValidCustomer reports whether a customer name consists of 1 to 63 characters of
// a-z, 0-9 and "-".
func ValidCustomer(name string) bool {
	return customerPattern.MatchString(name)
}

// Validate checks a contract and returns a *FieldError for the first invalid field.
// It does not check the version, which the shard sets.
func Validate(c *shardpb.Contract) error {
	checks := []func(*shardpb.Contract) error{
		validateNames, validateBudget, validateLimits, validateModels, validateServices, validateKeys,
	}
	for _, check := range checks {
		if err := check(c); err != nil {
			return err
		}
	}
	return nil
}

func validateNames(c *shardpb.Contract) error {
	if !ValidCustomer(c.GetCustomer()) {
		return newFieldError("customer", "1 to 63 characters of a-z, 0-9 and -")
	}
	if !validName(c.GetHomeRegion()) {
		return newFieldError("home_region", "UTF-8 text of 1 to %d bytes", MaxNameBytes)
	}
	return nil
}

// validName reports whether a name is valid UTF-8 of 1 to MaxNameBytes bytes.
func validName(s string) bool {
	return s != "" && len(s) <= MaxNameBytes && utf8.ValidString(s)
}

func validateBudget(c *shardpb.Contract) error {
	budget := c.GetBudget()
	if budget == nil {
		return newFieldError("budget", "present")
	}
	if budget.GetTokens() > MaxTokens {
		return newFieldError("budget.tokens", "0 to %d", uint64(MaxTokens))
	}
	period := budget.GetPeriodMs()
	if period != 0 && (period < MinPeriodMs || period > MaxPeriodMs) {
		return newFieldError("budget.period", "0 or 1s to 366 days")
	}
	return nil
}

func validateLimits(c *shardpb.Contract) error {
	switch {
	case c.GetPriority() < 0 || c.GetPriority() > MaxPriority:
		return newFieldError("priority", "0 to %d", MaxPriority)
	case c.GetEngineSharePermille() < 1 || c.GetEngineSharePermille() > MaxSharePermille:
		return newFieldError("engine_share", "0.1%% to 100%%")
	case c.GetMaxConcurrentCalls() < 1 || c.GetMaxConcurrentCalls() > MaxConcurrentCalls:
		return newFieldError("max_concurrent_calls", "1 to %d", MaxConcurrentCalls)
	case c.GetMaxTurns() < 1 || c.GetMaxTurns() > MaxTurns:
		return newFieldError("max_turns", "1 to %d", MaxTurns)
	case c.GetMaxProgramTokens() < 1 || c.GetMaxProgramTokens() > MaxTokens:
		return newFieldError("max_program_tokens", "1 to %d", uint64(MaxTokens))
	case c.GetMaxHeldTokens() > MaxTokens:
		return newFieldError("max_held_tokens", "0 to %d", uint64(MaxTokens))
	case c.GetProgramIdleMs() < MinProgramIdleMs || c.GetProgramIdleMs() > MaxProgramIdleMs:
		return newFieldError("program_idle", "1s to 366 days")
	}
	return nil
}

func validateModels(c *shardpb.Contract) error {
	return validateList("models", c.GetModels(), MaxModels)
}

// validateList checks that a list has at most limit names, which are valid and unique.
func validateList(field string, names []string, limit int) error {
	if len(names) > limit {
		return newFieldError(field, "at most %d entries", limit)
	}
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		if !validName(name) {
			return newFieldError(fmt.Sprintf("%s[%d]", field, i), "UTF-8 text of 1 to %d bytes", MaxNameBytes)
		}
		if seen[name] {
			return newFieldError(fmt.Sprintf("%s[%d]", field, i), "unique, %q is listed twice", name)
		}
		seen[name] = true
	}
	return nil
}

func validateServices(c *shardpb.Contract) error {
	names := make([]string, 0, len(c.GetServices()))
	for _, service := range c.GetServices() {
		names = append(names, service.GetName())
	}
	if err := validateList("services", names, MaxServices); err != nil {
		return err
	}
	for i, service := range c.GetServices() {
		if err := validateOperations(i, service); err != nil {
			return err
		}
	}
	return nil
}

func validateOperations(i int, service *shardpb.Service) error {
	names := make([]string, 0, len(service.GetOperations()))
	for _, operation := range service.GetOperations() {
		names = append(names, operation.GetName())
	}
	return validateList(fmt.Sprintf("services[%d].operations", i), names, MaxOperations)
}

func validateKeys(c *shardpb.Contract) error {
	if len(c.GetKeyHashes()) > MaxKeys {
		return newFieldError("keys", "at most %d entries", MaxKeys)
	}
	seen := make(map[string]bool, len(c.GetKeyHashes()))
	for i, hash := range c.GetKeyHashes() {
		field := fmt.Sprintf("keys[%d]", i)
		if len(hash) != sha256.Size {
			return newFieldError(field, "a SHA-256 hash of %d bytes", sha256.Size)
		}
		if seen[string(hash)] {
			return newFieldError(field, "unique, the same hash is listed twice")
		}
		seen[string(hash)] = true
	}
	return nil
}
