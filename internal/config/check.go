package config

import (
	"crypto/sha256"

	"ibistray.example/ibistray/proto/configpb"
)

// Limits on the contents of a command.
const (
	MaxNameBytes    = 256
	MaxNoteBytes    = 1024
	MaxFingerprints = 4096 // per command
	MaxModels       = 64   // per engine order
	MaxAdapters     = 256  // per model
	MaxReplicas     = 7    // per shard
)

// invalid returns a refusal with REASON_INVALID.
func invalid(format string, args ...any) *configpb.Refusal {
	return newRefusal(configpb.Reason_REASON_INVALID, format, args...)
}

// checkCommand checks everything about a command that does not depend on the
// state. It returns nil for a valid command.
func checkCommand(cmd *configpb.Command) *configpb.Refusal {
	if cmd.GetNowMs() < 0 || cmd.GetNowMs() > maxTimeMs {
		return invalid("now_ms is out of bounds")
	}
	if refusal := checkName("change_id", cmd.GetChangeId()); refusal != nil {
		return refusal
	}
	switch op := cmd.GetOp().(type) {
	case *configpb.Command_Put:
		return checkRecord(op.Put.GetRecord())
	case *configpb.Command_Delete:
		return checkDelete(op.Delete)
	case *configpb.Command_ReportCrash:
		return firstRefusal(
			checkName("server", op.ReportCrash.GetServer()),
			checkFingerprints(op.ReportCrash.GetFingerprints()),
		)
	case *configpb.Command_ClearSuspects:
		return checkFingerprints(op.ClearSuspects.GetFingerprints())
	default:
		return invalid("no operation")
	}
}

func checkName(field, value string) *configpb.Refusal {
	if value == "" || len(value) > MaxNameBytes {
		return invalid("%s must be 1 to %d bytes", field, MaxNameBytes)
	}
	return nil
}

func checkNote(note string) *configpb.Refusal {
	if len(note) > MaxNoteBytes {
		return invalid("note must be at most %d bytes", MaxNoteBytes)
	}
	return nil
}

func checkDelete(op *configpb.Delete) *configpb.Refusal {
	if maxRecords[kindOf(op.GetKey())] == 0 {
		return invalid("key %q is of no known kind", op.GetKey())
	}
	return nil
}

func checkFingerprint(fingerprint []byte) *configpb.Refusal {
	if len(fingerprint) != sha256.Size {
		return invalid("a fingerprint must be %d bytes", sha256.Size)
	}
	return nil
}

func checkFingerprints(fingerprints [][]byte) *configpb.Refusal {
	if len(fingerprints) == 0 || len(fingerprints) > MaxFingerprints {
		return invalid("1 to %d fingerprints are allowed", MaxFingerprints)
	}
	for _, fingerprint := range fingerprints {
		if refusal := checkFingerprint(fingerprint); refusal != nil {
			return refusal
		}
	}
	return nil
}

// checkRecord checks the record of a Put. A Put cannot create a suspect: suspects
// come only from crash reports.
func checkRecord(record *configpb.Record) *configpb.Refusal {
	switch v := record.GetValue().(type) {
	case *configpb.Record_Stop:
		return checkStop(v.Stop)
	case *configpb.Record_Quarantine:
		return firstRefusal(checkFingerprint(v.Quarantine.GetFingerprint()), checkNote(v.Quarantine.GetNote()))
	case *configpb.Record_EngineOrder:
		return checkEngineOrder(v.EngineOrder)
	case *configpb.Record_Placement:
		return checkPlacement(v.Placement)
	case *configpb.Record_ControlHost:
		return checkControlHost(v.ControlHost)
	default:
		return invalid("the record has no value that may be put")
	}
}

func checkStop(stop *configpb.Stop) *configpb.Refusal {
	if scopeNames[stop.GetScope()] == "" {
		return invalid("stop.scope must be server, host or failure domain")
	}
	return firstRefusal(checkName("stop.name", stop.GetName()), checkNote(stop.GetNote()))
}

func checkEngineOrder(order *configpb.EngineOrder) *configpb.Refusal {
	if len(order.GetModels()) > MaxModels {
		return invalid("an engine order may list at most %d models", MaxModels)
	}
	for _, model := range order.GetModels() {
		if refusal := checkModel(model); refusal != nil {
			return refusal
		}
	}
	if len(order.GetRole()) > MaxNameBytes {
		return invalid("role must be at most %d bytes", MaxNameBytes)
	}
	return checkName("server", order.GetServer())
}

func checkModel(model *configpb.EngineModel) *configpb.Refusal {
	if len(model.GetAdapters()) > MaxAdapters {
		return invalid("a model may list at most %d adapters", MaxAdapters)
	}
	for _, adapter := range model.GetAdapters() {
		if refusal := checkName("adapter", adapter); refusal != nil {
			return refusal
		}
	}
	if len(model.GetVersion()) > MaxNameBytes {
		return invalid("model version must be at most %d bytes", MaxNameBytes)
	}
	return checkName("model", model.GetModel())
}

// checkPlacement requires unique replica IDs and addresses, and that no two voters
// share a failure domain.
func checkPlacement(placement *configpb.Placement) *configpb.Refusal {
	replicas := placement.GetReplicas()
	if len(replicas) == 0 || len(replicas) > MaxReplicas {
		return invalid("a shard must have 1 to %d replicas", MaxReplicas)
	}
	seenIDs := make(map[uint64]bool)
	seenAddresses := make(map[string]bool)
	voterDomains := make(map[string]bool)
	for _, replica := range replicas {
		if replica.GetId() == 0 || seenIDs[replica.GetId()] || seenAddresses[replica.GetAddress()] {
			return invalid("replica IDs and addresses must be given and differ")
		}
		if !replica.GetLearner() && voterDomains[replica.GetFailureDomain()] {
			return invalid("two voters are in failure domain %q", replica.GetFailureDomain())
		}
		seenIDs[replica.GetId()] = true
		seenAddresses[replica.GetAddress()] = true
		voterDomains[replica.GetFailureDomain()] = voterDomains[replica.GetFailureDomain()] || !replica.GetLearner()
		refusal := firstRefusal(
			checkName("address", replica.GetAddress()),
			checkName("failure_domain", replica.GetFailureDomain()),
		)
		if refusal != nil {
			return refusal
		}
	}
	return checkName("region", placement.GetRegion())
}

func checkControlHost(host *configpb.ControlHost) *configpb.Refusal {
	return firstRefusal(
		checkName("address", host.GetAddress()),
		checkName("host", host.GetHost()),
		checkName("region", host.GetRegion()),
		checkName("failure_domain", host.GetFailureDomain()),
	)
}

// firstRefusal returns the first refusal that is not nil, or nil.
func firstRefusal(refusals ...*configpb.Refusal) *configpb.Refusal {
	for _, refusal := range refusals {
		if refusal != nil {
			return refusal
		}
	}
	return nil
}
