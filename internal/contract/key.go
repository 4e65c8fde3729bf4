package contract

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"strings"
)

const (
	keyPrefix   = "ik_"
	secretBytes = 32 // random bytes in a new key
	hashBytes   = sha256.Size
	secretForm  = "16 to 128 letters and digits"
)

var secretPattern = regexp.MustCompile(`^[A-Za-z0-9]{16,128}$`)

// ErrInvalidKey is returned for a key that does not have the form ik_<customer>_<secret>.
var ErrInvalidKey = errors.New("contract: not a customer key")

// NewKey returns a new random key of a customer. Contracts store only the hash of a
// key. The error wraps ErrInvalidKey when the customer name is invalid.
func NewKey(customer string) (string, error) {
	if !ValidCustomer(customer) {
		return "", fmt.Errorf("%w: customer %q", ErrInvalidKey, customer)
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", fmt.Errorf("contract: generate key: %w", err)
	}
	return keyPrefix + customer + "_" + hex.EncodeToString(secret), nil
}

// ParseKey returns the customer name that a key contains. The name determines which
// shard can verify the key; ParseKey itself checks only the form and returns
// ErrInvalidKey when that is wrong.
func ParseKey(key string) (string, error) {
	rest, ok := strings.CutPrefix(key, keyPrefix)
	if !ok {
		return "", ErrInvalidKey
	}
	customer, secret, _ := strings.Cut(rest, "_")
	if !ValidCustomer(customer) || !secretPattern.MatchString(secret) {
		return "", ErrInvalidKey
	}
	return customer, nil
}

// HashKey returns the SHA-256 hash of a key, which contracts and commands contain in
// place of the key.
func HashKey(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}
