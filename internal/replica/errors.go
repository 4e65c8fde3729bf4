package replica

import "errors"

// Errors of configuration, storage, membership changes and snapshots.
var (
	// ErrConfig reports missing or inconsistent settings.
	ErrConfig = errors.New("replica: invalid configuration")
	// ErrStorage reports that durable state could not be read or written. The
	// host stops. Replicas whose state is damaged must be rebuilt from peers.
	ErrStorage = errors.New("replica: storage failed")
	// ErrPanic reports that the code of a group or of its state machine has panicked. The host
	// stops; its stored state is not affected.
	ErrPanic = errors.New("replica: the host has panicked")
	// ErrGroupExists reports that the group already has a replica on this host.
	ErrGroupExists = errors.New("replica: the group has a replica on this host")
	// ErrRefused reports a membership change or a leadership transfer that the
	// group does not allow now, or a snapshot for another replica. Nothing was
	// changed.
	ErrRefused = errors.New("replica: change refused")
	// ErrInvalidSnapshot reports a snapshot that is truncated or corrupt.
	ErrInvalidSnapshot = errors.New("replica: invalid snapshot")
)
