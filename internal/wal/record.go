package wal

import (
	"encoding/binary"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/raftpb"
)

// recordKind is the type of a record. The values are stored on disk.
type recordKind byte

const (
	kindHardState recordKind = 1
	kindEntry     recordKind = 2
	kindSnapshot  recordKind = 3
	kindRemove    recordKind = 4
	kindBinding   recordKind = 5
)

var errMalformedRecord = errors.New("wal: malformed record")

// Update is a change of one group. It is recovered whole or not at all. The log
// applies the fields in the order Bindings, HardState, Snapshot, Entries.
type Update struct {
	Group     uint64
	HardState *raftpb.HardState    // nil: unchanged
	Snapshot  *raftpb.SnapshotMeta // nil: unchanged; the snapshot covers the entries up to its index
	Entries   []*raftpb.Entry      // an entry replaces the stored entries from its index on
	Bindings  []Binding            // added to the bindings of the group
	Remove    bool                 // removes the group; no other field may be set
}

// Binding assigns a replica of a group to the disk that stores it.
type Binding struct {
	ReplicaID uint64
	DiskID    uint64 // Identity.DiskID of the disk
}

const bindingSize = 16 // bytes

func (b Binding) encode() []byte {
	buf := binary.LittleEndian.AppendUint64(nil, b.ReplicaID)
	return binary.LittleEndian.AppendUint64(buf, b.DiskID)
}

func decodeBinding(body []byte) (Binding, error) {
	if len(body) != bindingSize {
		return Binding{}, errMalformedRecord
	}
	b := Binding{
		ReplicaID: binary.LittleEndian.Uint64(body),
		DiskID:    binary.LittleEndian.Uint64(body[bindingSize/2:]),
	}
	return b, nil
}

// appendUpdate encodes the update and appends its records to buf.
func appendUpdate(buf []byte, u *Update) ([]byte, error) {
	if u.Remove {
		return appendRawRecord(buf, u.Group, kindRemove, nil), nil
	}
	for _, binding := range u.Bindings {
		buf = appendRawRecord(buf, u.Group, kindBinding, binding.encode())
	}
	var err error
	if u.HardState != nil {
		if buf, err = appendProtoRecord(buf, u.Group, kindHardState, u.HardState); err != nil {
			return nil, err
		}
	}
	if u.Snapshot != nil {
		if buf, err = appendProtoRecord(buf, u.Group, kindSnapshot, u.Snapshot); err != nil {
			return nil, err
		}
	}
	for _, entry := range u.Entries {
		if buf, err = appendProtoRecord(buf, u.Group, kindEntry, entry); err != nil {
			return nil, err
		}
	}
	return buf, nil
}

func appendRawRecord(buf []byte, group uint64, kind recordKind, body []byte) []byte {
	buf = appendRecordHeader(buf, group, kind, len(body))
	return append(buf, body...)
}

func appendProtoRecord(buf []byte, group uint64, kind recordKind, msg proto.Message) ([]byte, error) {
	buf = appendRecordHeader(buf, group, kind, proto.Size(msg))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, msg)
	if err != nil {
		return nil, fmt.Errorf("wal: encode record of group %d: %w", group, err)
	}
	return buf, nil
}

func appendRecordHeader(buf []byte, group uint64, kind recordKind, length int) []byte {
	buf = append(buf, byte(kind))
	buf = binary.AppendUvarint(buf, group)
	return binary.AppendUvarint(buf, uint64(length))
}

// decodePayload calls fn for each record of a payload. The update that it passes has
// exactly one field set besides Group. It stops at the first error.
func decodePayload(payload []byte, fn func(Update) error) error {
	for len(payload) > 0 {
		update, rest, err := decodeRecord(payload)
		if err != nil {
			return err
		}
		if err := fn(update); err != nil {
			return err
		}
		payload = rest
	}
	return nil
}

// decodeRecord decodes the record at the start of data and returns the rest of data.
func decodeRecord(data []byte) (Update, []byte, error) {
	kind := recordKind(data[0])
	group, data, err := readUvarint(data[1:])
	if err != nil {
		return Update{}, nil, err
	}
	length, data, err := readUvarint(data)
	if err != nil {
		return Update{}, nil, err
	}
	if length > uint64(len(data)) {
		return Update{}, nil, errMalformedRecord
	}
	update, err := decodeBody(kind, data[:length])
	update.Group = group
	return update, data[length:], err
}

func readUvarint(data []byte) (uint64, []byte, error) {
	value, n := binary.Uvarint(data)
	if n <= 0 {
		return 0, nil, errMalformedRecord
	}
	return value, data[n:], nil
}

func decodeBody(kind recordKind, body []byte) (Update, error) {
	switch kind {
	case kindHardState:
		state := new(raftpb.HardState)
		return Update{HardState: state}, unmarshal(body, state)
	case kindSnapshot:
		meta := new(raftpb.SnapshotMeta)
		return Update{Snapshot: meta}, unmarshal(body, meta)
	case kindEntry:
		entry := new(raftpb.Entry)
		return Update{Entries: []*raftpb.Entry{entry}}, unmarshal(body, entry)
	case kindBinding:
		binding, err := decodeBinding(body)
		return Update{Bindings: []Binding{binding}}, err
	case kindRemove:
		return Update{Remove: true}, nil
	}
	return Update{}, fmt.Errorf("%w: unknown kind %d", errMalformedRecord, kind)
}

func unmarshal(body []byte, msg proto.Message) error {
	if err := proto.Unmarshal(body, msg); err != nil {
		return fmt.Errorf("%w: %w", errMalformedRecord, err)
	}
	return nil
}
