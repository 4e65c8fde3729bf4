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
	secretBytes = 32 // of randomness in a new key
	hashBytes   = sha256.Size
	secretForm  = "16 to 128 letters and digits"
)

var secretPattern = regexp.MustCompile(`^[A-Za-z0-9]{16,128}$`)

// ErrBadKey says that a customer key has not the form ik_<customer>_<secret>.
var ErrBadKey = errors.New("contract: not a customer key")

// NewKey returns a new key of a customer. Only its hash belongs into a
// contract. Errors: ErrBadKey for a name that no customer can have.
func NewKey(customer string) (string, error) {
	if !ValidCustomer(customer) {
		return "", fmt.Errorf("%w: customer %q", ErrBadKey, customer)
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", fmt.Errorf("contract: new key: %w", err)
	}
	return keyPrefix + customer + "_" + hex.EncodeToString(secret), nil
}

// ParseKey returns the customer whose name the key carries, which says where to
// ask, not that the key is valid. Errors: ErrBadKey.
func ParseKey(key string) (string, error) {
	rest, ok := strings.CutPrefix(key, keyPrefix)
	if !ok {
		return "", ErrBadKey
	}
	customer, secret, _ := strings.Cut(rest, "_")
	if !ValidCustomer(customer) || !secretPattern.MatchString(secret) {
		return "", ErrBadKey
	}
	return customer, nil
}

// HashKey returns the SHA-256 of a key, as contracts and commands carry it.
func HashKey(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}
