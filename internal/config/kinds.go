package config

import (
	"encoding/hex"
	"strconv"
	"strings"

	"ibistray.example/ibistray/proto/configpb"
)

// kind is the kind of a record. It is the first part of the record's key.
type kind string

const (
	kindStop        kind = "stop"
	kindQuarantine  kind = "quarantine"
	kindSuspect     kind = "suspect"
	kindEngineOrder kind = "order"
	kindPlacement   kind = "placement"
	kindControlHost kind = "host"
)

// maxRecords is the limit on the records of each kind.
var maxRecords = map[kind]int{
	kindStop:        1024,
	kindQuarantine:  4096,
	kindSuspect:     4096,
	kindEngineOrder: 16384,
	kindPlacement:   4096,
	kindControlHost: 1024,
}

// StopKey returns the key of the planned stop of a backend server, host or failure
// domain.
func StopKey(scope configpb.StopScope, name string) string {
	return string(kindStop) + "/" + scopeNames[scope] + "/" + name
}

// QuarantineKey returns the key of the quarantine record of a request.
func QuarantineKey(fingerprint []byte) string {
	return string(kindQuarantine) + "/" + hex.EncodeToString(fingerprint)
}

// SuspectKey returns the key of the suspect record of a request.
func SuspectKey(fingerprint []byte) string {
	return string(kindSuspect) + "/" + hex.EncodeToString(fingerprint)
}

// EngineOrderKey returns the key of the order for an engine.
func EngineOrderKey(server string) string {
	return string(kindEngineOrder) + "/" + server
}

// PlacementKey returns the key of a shard's placement.
func PlacementKey(shard uint64) string {
	return string(kindPlacement) + "/" + strconv.FormatUint(shard, 10)
}

// ControlHostKey returns the key of a control host.
func ControlHostKey(address string) string {
	return string(kindControlHost) + "/" + address
}

var scopeNames = map[configpb.StopScope]string{
	configpb.StopScope_STOP_SCOPE_SERVER:         "server",
	configpb.StopScope_STOP_SCOPE_HOST:           "host",
	configpb.StopScope_STOP_SCOPE_FAILURE_DOMAIN: "failure-domain",
}

// keyOf derives the key of a record from its value. It returns "" for a record
// without a value.
func keyOf(record *configpb.Record) string {
	switch v := record.GetValue().(type) {
	case *configpb.Record_Stop:
		return StopKey(v.Stop.GetScope(), v.Stop.GetName())
	case *configpb.Record_Quarantine:
		return QuarantineKey(v.Quarantine.GetFingerprint())
	case *configpb.Record_Suspect:
		return SuspectKey(v.Suspect.GetFingerprint())
	case *configpb.Record_EngineOrder:
		return EngineOrderKey(v.EngineOrder.GetServer())
	case *configpb.Record_Placement:
		return PlacementKey(v.Placement.GetShard())
	case *configpb.Record_ControlHost:
		return ControlHostKey(v.ControlHost.GetAddress())
	default:
		return ""
	}
}

func kindOf(key string) kind {
	name, _, _ := strings.Cut(key, "/")
	return kind(name)
}
