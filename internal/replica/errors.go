package replica

import "errors"

// Further errors of this package.
var (
	// ErrConfig reports settings that are missing or contradict each other.
	ErrConfig = errors.New("replica: invalid configuration")
	// ErrStorage reports that durable state could not be read or written. The
	// host stops; replicas whose state is damaged have to be rebuilt from peers.
	ErrStorage = errors.New("replica: storage failed")
	// ErrGroupExists reports that the group already has a replica on this host.
	ErrGroupExists = errors.New("replica: the group has a replica on this host")
	// ErrRefused reports a membership change or a transfer of leadership that
	// the group does not allow now. Nothing was changed.
	ErrRefused = errors.New("replica: change refused")
	// ErrSnapshotDamaged reports a snapshot whose checksum does not fit.
	ErrSnapshotDamaged = errors.New("replica: snapshot is damaged")
)
