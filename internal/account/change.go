package account

import (
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Errors of Change.Apply.
var (
	ErrUnknownAccount = errors.New("account: no such account")
	ErrKeyTaken       = errors.New("account: the key belongs to another account")
	ErrUnknownKey     = errors.New("account: the account has no such key")
	ErrLastKey        = errors.New("account: it is the last key of the account")
)

// Errors of storing a change.
var (
	// ErrUnavailable says that no state host gave a clear response. A change that was sent
	// may come into force.
	ErrUnavailable = errors.New("account: no clear response from a state host")
	// ErrRejected says that the state hosts rejected the request.
	ErrRejected = errors.New("account: rejected by the state hosts")
)

// ConflictError says that another change came into force while one was made.
type ConflictError struct {
	Written uint64 // version of the change
	InForce uint64 // version that is in force
	Holds   bool   // the account is nevertheless as the change wanted it
}

func (e *ConflictError) Error() string {
	text := fmt.Sprintf("account: conflict: version %d was written, but that of another change is in force (version %d)", e.Written, e.InForce)
	if e.Holds {
		return text + "; the account is as wanted there"
	}
	return text + "; the account is not as wanted there"
}

// MaxPriority is the least urgent priority of an account.
const MaxPriority = 9

// Change is an operator's change to one account. One of AddKey, RemoveKey, Limit and Priority
// is set.
type Change struct {
	Account   string
	AddKey    string  // the key itself
	RemoveKey *Digest // of the key
	AllowLast bool    // RemoveKey may remove the last key
	Limit     *Limit
	Priority  *int
}

// Apply returns the account as the change makes it. The directory is not modified. Errors
// wrap ErrUnknownAccount, ErrKeyTaken, ErrUnknownKey, ErrLastKey or ErrInvalid.
func (c Change) Apply(d *Directory) (*Account, error) {
	current := d.ByName(c.Account)
	if current == nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownAccount, c.Account)
	}
	changed := &Account{Name: current.Name, Keys: slices.Clone(current.Keys), Priority: current.Priority, Limit: current.Limit}
	switch {
	case c.AddKey != "":
		return changed, c.addKey(d, changed)
	case c.RemoveKey != nil:
		return changed, c.removeKey(changed)
	case c.Limit != nil:
		changed.Limit = *c.Limit
		return changed, c.Limit.validate(c.Account)
	case c.Priority != nil:
		changed.Priority = c.Priority
		return changed, validatePriority(*c.Priority)
	}
	return nil, fmt.Errorf("%w: a change of %q that changes nothing", ErrInvalid, c.Account)
}

func (c Change) addKey(d *Directory, a *Account) error {
	if !validHeaderValue(c.AddKey) {
		return fmt.Errorf("%w: the key has control characters or surrounding spaces, which a header cannot carry", ErrInvalid)
	}
	switch holder := d.ByKey(c.AddKey); {
	case holder == nil:
		a.Keys = append(a.Keys, DigestOf(c.AddKey))
	case holder.Name != a.Name:
		return fmt.Errorf("%w: %q", ErrKeyTaken, holder.Name)
	}
	return nil
}

func (c Change) removeKey(a *Account) error {
	remaining := slices.DeleteFunc(slices.Clone(a.Keys), func(known Digest) bool { return known == *c.RemoveKey })
	switch {
	case len(remaining) == len(a.Keys):
		return fmt.Errorf("%w: %q", ErrUnknownKey, a.Name)
	case len(remaining) == 0 && !c.AllowLast:
		return fmt.Errorf("%w: %q", ErrLastKey, a.Name)
	}
	a.Keys = remaining
	return nil
}

func validatePriority(priority int) error {
	if priority < 0 || priority > MaxPriority {
		return fmt.Errorf("%w: priority %d is not 0 to %d", ErrInvalid, priority, MaxPriority)
	}
	return nil
}

// validHeaderValue reports whether an HTTP header carries a text unchanged.
func validHeaderValue(text string) bool {
	return text == strings.Trim(text, " \t") && !strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f })
}

// Equal reports whether two accounts have the same name, keys, priority and limit.
func (a *Account) Equal(other *Account) bool {
	if a.Name != other.Name || a.Limit != other.Limit || (a.Priority == nil) != (other.Priority == nil) {
		return false
	}
	if a.Priority != nil && *a.Priority != *other.Priority {
		return false
	}
	return slices.Equal(sortedKeys(a), sortedKeys(other))
}

// sortedKeys returns the distinct digests of an account's keys in order.
func sortedKeys(a *Account) []Digest {
	keys := slices.SortedFunc(slices.Values(a.Keys), func(a, b Digest) int { return slices.Compare(a[:], b[:]) })
	return slices.Compact(keys)
}

// FindKeys returns the distinct digests of the account's keys whose hexadecimal form begins
// with a prefix.
func (a *Account) FindKeys(prefix string) []Digest {
	return slices.DeleteFunc(sortedKeys(a), func(d Digest) bool { return !strings.HasPrefix(hex.EncodeToString(d[:]), strings.ToLower(prefix)) })
}
