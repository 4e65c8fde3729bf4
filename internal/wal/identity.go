package wal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"path/filepath"
)

const identityFileName = "identity"

// Identity identifies the disk of a host. It is written once, when the data directory
// is first used, so a host that lost its disk gets a different identity.
type Identity struct {
	DiskID uint64 // random, never 0
}

func newIdentity(random io.Reader) (Identity, error) {
	var id Identity
	for id.DiskID == 0 {
		var buf [8]byte
		if _, err := io.ReadFull(random, buf[:]); err != nil {
			return Identity{}, fmt.Errorf("wal: generate disk ID: %w", err)
		}
		id.DiskID = binary.LittleEndian.Uint64(buf[:])
	}
	return id, nil
}

// loadIdentity reads the identity from a data directory. It returns false when the
// file does not exist, and ErrCorrupt when it is damaged.
func loadIdentity(fsys FS, dir string) (Identity, bool, error) {
	data, err := readFile(fsys, filepath.Join(dir, identityFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, false, nil
	}
	if err != nil {
		return Identity{}, false, fmt.Errorf("wal: read identity: %w", err)
	}
	if len(data) < crc32.Size {
		return Identity{}, false, &CorruptError{Segment: identityFileName, Reason: "file is shorter than its checksum"}
	}
	body := data[crc32.Size:]
	if binary.LittleEndian.Uint32(data) != crc32.Checksum(body, castagnoli) {
		return Identity{}, false, &CorruptError{Segment: identityFileName, Reason: "checksum mismatch"}
	}
	var id Identity
	if err := json.Unmarshal(body, &id); err != nil {
		return Identity{}, false, &CorruptError{Segment: identityFileName, Reason: err.Error()}
	}
	return id, true, nil
}

func saveIdentity(fsys FS, dir string, id Identity) error {
	body, err := json.Marshal(id)
	if err != nil {
		return fmt.Errorf("wal: encode identity: %w", err)
	}
	data := binary.LittleEndian.AppendUint32(nil, crc32.Checksum(body, castagnoli))
	data = append(data, body...)
	return WriteFileAtomic(fsys, filepath.Join(dir, identityFileName), func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	})
}
