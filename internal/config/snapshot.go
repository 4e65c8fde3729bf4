package config

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/configpb"
)

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// ErrInvalidSnapshot is returned by Restore for a snapshot that is damaged, truncated or
// in an unsupported format.
var ErrInvalidSnapshot = errors.New("config: invalid snapshot")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Snapshot writes the whole state: the CRC-32C of an encoded configpb.Snapshot, 4
// bytes in big-endian order, followed by that message.
func (s *State) Snapshot(w io.Writer) error {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.snapshot())
	if err != nil {
		return fmt.Errorf("config: encode snapshot: %w", err)
	}
	checksum := binary.BigEndian.AppendUint32(nil, crc32.Checksum(data, castagnoli))
	if _, err := w.Write(append(checksum, data...)); err != nil {
		return fmt.Errorf("config: write snapshot: %w", err)
	}
	return nil
}

func (s *State) snapshot() *configpb.Snapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	snapshot := &configpb.Snapshot{
		Format:           snapshotFormat,
		NowMs:            s.nowMs,
		Version:          s.version,
		ForgottenVersion: s.prunedVersion,
	}
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		snapshot.Records = append(snapshot.Records, s.records[key])
	}
	for i := range s.changes {
		c := &s.changes[i]
		snapshot.Changes = append(snapshot.Changes, &configpb.ChangeRecord{
			ChangeId: c.id,
			Digest:   c.digest[:],
			Result:   c.result,
		})
	}
	return snapshot
}

// Restore replaces the state by one that Snapshot wrote and wakes the waiters of
// Changed. The state is unchanged after an error; an invalid snapshot gives ErrInvalidSnapshot.
func (s *State) Restore(r io.Reader) error {
	snapshot, err := readSnapshot(r)
	if err != nil {
		return err
	}
	restored := fromSnapshot(snapshot)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nowMs = restored.nowMs
	s.version = restored.version
	s.prunedVersion = restored.prunedVersion
	s.records = restored.records
	s.counts = restored.counts
	s.changes = restored.changes
	close(s.changed)
	s.changed = restored.changed
	return nil
}

// readSnapshot reads and checks a snapshot. It returns ErrInvalidSnapshot for an invalid one.
func readSnapshot(r io.Reader) (*configpb.Snapshot, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("config: read snapshot: %w", err)
	}
	if len(data) < 4 || binary.BigEndian.Uint32(data) != crc32.Checksum(data[4:], castagnoli) {
		return nil, fmt.Errorf("%w: the checksum does not match", ErrInvalidSnapshot)
	}
	snapshot := new(configpb.Snapshot)
	if err := proto.Unmarshal(data[4:], snapshot); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	if snapshot.GetFormat() != snapshotFormat {
		return nil, fmt.Errorf("%w: unsupported format %d", ErrInvalidSnapshot, snapshot.GetFormat())
	}
	return snapshot, nil
}

// fromSnapshot returns the state that a snapshot contains.
func fromSnapshot(snapshot *configpb.Snapshot) *State {
	s := New()
	s.nowMs = snapshot.GetNowMs()
	s.version = snapshot.GetVersion()
	s.prunedVersion = snapshot.GetForgottenVersion()
	for _, record := range snapshot.GetRecords() {
		s.records[record.GetKey()] = record
		if !record.GetDeleted() {
			s.counts[kindOf(record.GetKey())]++
		}
	}
	for _, r := range snapshot.GetChanges() {
		c := change{id: r.GetChangeId(), result: r.GetResult()}
		copy(c.digest[:], r.GetDigest())
		s.changes = append(s.changes, c)
	}
	return s
}
