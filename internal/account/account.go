// Package account holds the client accounts of a configuration: who they are, with which
// keys their clients authenticate, and what they are allowed.
package account

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// ErrInvalid is wrapped by the errors of accounts that fail validation.
var ErrInvalid = errors.New("account: invalid account")

// Account is a customer whose clients share a priority and a limit.
type Account struct {
	Name     string
	Keys     []Digest // of the keys with which its clients authenticate
	Priority *int     // of its requests, 0 is the most urgent; nil: that of the route
	Limit    Limit
}

// Limit bounds the requests of an account that run, through all entries together.
type Limit struct {
	PerSecond float64 // 0: no limit
	Burst     float64 // requests on top of the rate
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// shortDigestLength is the number of hexadecimal digits that Digest.String returns.
const shortDigestLength = 12

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// String returns the first shortDigestLength hexadecimal digits, by which operators name a key.
func (d Digest) String() string { return hex.EncodeToString(d[:])[:shortDigestLength] }

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Directory finds accounts by key and by name. It is immutable.
type Directory struct {
	byKey  map[Digest]*Account
	byName map[string]*Account
}

// emptyKey is the digest of the key of a client that sends none.
var emptyKey = DigestOf("")

// NewDirectory returns a directory of accounts. It returns an error that wraps ErrInvalid if a
// name is missing, used twice or cannot be sent in a header unchanged, if a key is empty or
// shared by two accounts, or if a limit is not a non-negative number.
func NewDirectory(accounts []*Account) (*Directory, error) {
	d := &Directory{byKey: make(map[Digest]*Account), byName: make(map[string]*Account, len(accounts))}
	for _, a := range accounts {
		if err := d.add(a); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Directory) add(a *Account) error {
	switch {
	case a.Name == "":
		return fmt.Errorf("%w: no name", ErrInvalid)
	case !validHeaderValue(a.Name):
		return fmt.Errorf("%w: name %q has control characters or surrounding spaces", ErrInvalid, a.Name)
	case d.byName[a.Name] != nil:
		return fmt.Errorf("%w: two accounts are named %q", ErrInvalid, a.Name)
	}
	if err := a.Limit.validate(a.Name); err != nil {
		return err
	}
	d.byName[a.Name] = a
	for _, key := range a.Keys {
		if key == emptyKey {
			return fmt.Errorf("%w: %q has an empty key", ErrInvalid, a.Name)
		}
		if other := d.byKey[key]; other != nil && other != a {
			return fmt.Errorf("%w: %q and %q share a key", ErrInvalid, other.Name, a.Name)
		}
		d.byKey[key] = a
	}
	return nil
}

func (l Limit) validate(name string) error {
	if isAmount(l.PerSecond) && isAmount(l.Burst) {
		return nil
	}
	return fmt.Errorf("%w: limit of %q: %g requests a second with bursts of %g", ErrInvalid, name, l.PerSecond, l.Burst)
}

func isAmount(value float64) bool { return value >= 0 && !math.IsInf(value, 0) && !math.IsNaN(value) }

// ByKey returns the account that holds a key, nil if there is none. Keys are compared by their
// digests in constant time.
func (d *Directory) ByKey(key string) *Account {
	digest := DigestOf(key)
	a := d.byKey[digest]
	if a == nil {
		return nil
	}
	for _, known := range a.Keys {
		if subtle.ConstantTimeCompare(known[:], digest[:]) == 1 {
			return a
		}
	}
	return nil
}

// ByName returns the account of a name, nil if there is none.
func (d *Directory) ByName(name string) *Account { return d.byName[name] }

// All returns the accounts in the order of their names.
func (d *Directory) All() []*Account {
	return slices.SortedFunc(maps.Values(d.byName), func(a, b *Account) int { return cmp.Compare(a.Name, b.Name) })
}

// Len returns the number of accounts.
func (d *Directory) Len() int { return len(d.byName) }
