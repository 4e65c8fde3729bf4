package fleet

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"unicode/utf8"
)

// maxNameBytes is the maximum size of an ID, a name or an address in a report.
const maxNameBytes = 256

// ErrInvalid is wrapped by the errors of reports that describe no usable server.
var ErrInvalid = errors.New("fleet: invalid report")

// ValidateID returns an error that wraps ErrInvalid if an ID is empty or unreadable: not
// UTF-8, or longer than maxNameBytes.
func ValidateID(id string) error {
	if id == "" {
		return fmt.Errorf("%w: ID is empty", ErrInvalid)
	}
	return checkName("ID", id)
}

// Validate returns an error that wraps ErrInvalid if a name is unreadable, the ID, the service
// or a numeric address with port is missing, or the number of slots is out of range.
func (i *Instance) Validate() error {
	if err := i.checkNames(); err != nil {
		return err
	}
	if i.ID == "" || i.Service == "" {
		return fmt.Errorf("%w: ID %q or service %q is empty", ErrInvalid, i.ID, i.Service)
	}
	if _, err := netip.ParseAddrPort(i.Address); err != nil {
		return fmt.Errorf("%w: address %q: %w", ErrInvalid, i.Address, err)
	}
	if i.Slots < 0 || i.Slots > math.MaxInt32 {
		return fmt.Errorf("%w: %d slots", ErrInvalid, i.Slots)
	}
	return nil
}

// checkNames returns an error that wraps ErrInvalid if an update cannot carry a name of the
// report, or only at a size that leaves no room for other reports.
func (i *Instance) checkNames() error {
	names := [...]struct{ field, value string }{
		{"ID", i.ID},
		{"service", i.Service},
		{"address", i.Address},
		{"failure domain", i.FailureDomain},
		{"version", i.Version},
		{"source", i.LeavingSource},
	}
	for _, name := range names {
		if err := checkName(name.field, name.value); err != nil {
			return err
		}
	}
	return nil
}

func checkName(field, value string) error {
	if len(value) > maxNameBytes {
		return fmt.Errorf("%w: %s of %d bytes, limit %d", ErrInvalid, field, len(value), maxNameBytes)
	}
	if !utf8.ValidString(value) {
		return fmt.Errorf("%w: %s %q is not UTF-8", ErrInvalid, field, value)
	}
	return nil
}
