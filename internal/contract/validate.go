// Package contract decodes, encodes and validates contract documents, and
// makes customer keys.
package contract

import (
	"crypto/sha256"
	"fmt"
	"regexp"
	"unicode/utf8"

	"ibistray.example/ibistray/proto/shardpb"
)

// Bounds of a contract.
const (
	MaxPriority      = 9
	MaxTokens        = 1 << 40                   // any token figure
	MaxPeriodMs      = 366 * 24 * 60 * 60 * 1000 // a year
	MinPeriodMs      = 1000
	MaxShare         = 1000 // permille
	MaxConcurrent    = 100_000
	MaxTurns         = 100_000
	MinIdleMs        = 1000
	MaxIdleMs        = 366 * 24 * 60 * 60 * 1000
	MaxModels        = 256
	MaxServices      = 256
	MaxOperations    = 256 // of one service
	MaxKeys          = 64
	MaxNameBytes     = 256
	MaxDocumentBytes = 256 << 10
)

var customerPattern = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)

// FieldError names the field that is wrong and what is allowed.
type FieldError struct {
	Field   string
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("contract: %s: must be %s", e.Field, e.Allowed)
}

func wrong(field, format string, args ...any) error {
	return &FieldError{Field: field, Allowed: fmt.Sprintf(format, args...)}
}

// ValidCustomer reports whether a name is 1 to 63 of a-z, 0-9 and "-".
func ValidCustomer(name string) bool {
	return customerPattern.MatchString(name)
}

// Validate checks a whole contract and returns a *FieldError for the first
// field that is out of bounds. The version is not checked: the shard sets it.
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
		return wrong("customer", "1 to 63 characters of a-z, 0-9 and -")
	}
	if !validText(c.GetHomeRegion()) {
		return wrong("home_region", "UTF-8 of 1 to %d bytes", MaxNameBytes)
	}
	return nil
}

func validText(s string) bool {
	return s != "" && len(s) <= MaxNameBytes && utf8.ValidString(s)
}

func validateBudget(c *shardpb.Contract) error {
	budget := c.GetBudget()
	if budget == nil {
		return wrong("budget", "present")
	}
	if budget.GetTokens() > MaxTokens {
		return wrong("budget.tokens", "0 to %d", uint64(MaxTokens))
	}
	period := budget.GetPeriodMs()
	if period != 0 && (period < MinPeriodMs || period > MaxPeriodMs) {
		return wrong("budget.period", "0 or 1s to 366 days")
	}
	return nil
}

func validateLimits(c *shardpb.Contract) error {
	switch {
	case c.GetPriority() < 0 || c.GetPriority() > MaxPriority:
		return wrong("priority", "0 to %d", MaxPriority)
	case c.GetEngineSharePermille() < 1 || c.GetEngineSharePermille() > MaxShare:
		return wrong("engine_share", "0.1%% to 100%%")
	case c.GetMaxConcurrentCalls() < 1 || c.GetMaxConcurrentCalls() > MaxConcurrent:
		return wrong("max_concurrent_calls", "1 to %d", MaxConcurrent)
	case c.GetMaxTurns() < 1 || c.GetMaxTurns() > MaxTurns:
		return wrong("max_turns", "1 to %d", MaxTurns)
	case c.GetMaxProgramTokens() < 1 || c.GetMaxProgramTokens() > MaxTokens:
		return wrong("max_program_tokens", "1 to %d", uint64(MaxTokens))
	case c.GetMaxHeldTokens() > MaxTokens:
		return wrong("max_held_tokens", "0 to %d", uint64(MaxTokens))
	case c.GetProgramIdleMs() < MinIdleMs || c.GetProgramIdleMs() > MaxIdleMs:
		return wrong("program_idle", "1s to 366 days")
	}
	return nil
}

func validateModels(c *shardpb.Contract) error {
	return validateList("models", c.GetModels(), MaxModels)
}

// validateList checks the names of a list: their number, text and uniqueness.
func validateList(field string, names []string, limit int) error {
	if len(names) > limit {
		return wrong(field, "at most %d entries", limit)
	}
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		if !validText(name) {
			return wrong(fmt.Sprintf("%s[%d]", field, i), "UTF-8 of 1 to %d bytes", MaxNameBytes)
		}
		if seen[name] {
			return wrong(fmt.Sprintf("%s[%d]", field, i), "unique, %q is listed twice", name)
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
		return wrong("keys", "at most %d entries", MaxKeys)
	}
	seen := make(map[string]bool, len(c.GetKeyHashes()))
	for i, hash := range c.GetKeyHashes() {
		field := fmt.Sprintf("keys[%d]", i)
		if len(hash) != sha256.Size {
			return wrong(field, "a SHA-256 hash of %d bytes", sha256.Size)
		}
		if seen[string(hash)] {
			return wrong(field, "unique, the key is listed twice")
		}
		seen[string(hash)] = true
	}
	return nil
}
