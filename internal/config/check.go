package config

import (
	"crypto/sha256"

	"ibistray.example/ibistray/proto/configpb"
)

// Bounds of commands.
const (
	MaxNameBytes    = 256
	MaxNoteBytes    = 1024
	MaxFingerprints = 4096 // of one command
	MaxModels       = 64   // of one engine order
	MaxAdapters     = 256  // of one model
	MaxReplicas     = 7    // of one shard
)

func invalid(format string, args ...any) *configpb.Refusal {
	return refuse(configpb.Reason_REASON_INVALID, format, args...)
}

// checkCommand checks the bounds that do not depend on the state.
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
		return first(
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
	if limits[kindOf(op.GetKey())] == 0 {
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

// checkRecord checks a record that an operator puts. Suspects are made by
// crash reports only.
func checkRecord(record *configpb.Record) *configpb.Refusal {
	switch v := record.GetValue().(type) {
	case *configpb.Record_Stop:
		return checkStop(v.Stop)
	case *configpb.Record_Quarantine:
		return first(checkFingerprint(v.Quarantine.GetFingerprint()), checkNote(v.Quarantine.GetNote()))
	case *configpb.Record_EngineOrder:
		return checkOrder(v.EngineOrder)
	case *configpb.Record_Placement:
		return checkPlacement(v.Placement)
	case *configpb.Record_ControlHost:
		return checkHost(v.ControlHost)
	default:
		return invalid("the record has no value that may be put")
	}
}

func checkStop(stop *configpb.Stop) *configpb.Refusal {
	if scopeNames[stop.GetScope()] == "" {
		return invalid("stop.scope must be server, host or failure domain")
	}
	return first(checkName("stop.name", stop.GetName()), checkNote(stop.GetNote()))
}

func checkOrder(order *configpb.EngineOrder) *configpb.Refusal {
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

// checkPlacement requires that no two voters share a failure domain.
func checkPlacement(placement *configpb.Placement) *configpb.Refusal {
	replicas := placement.GetReplicas()
	if len(replicas) == 0 || len(replicas) > MaxReplicas {
		return invalid("a shard must have 1 to %d replicas", MaxReplicas)
	}
	ids := make(map[uint64]bool)
	addresses := make(map[string]bool)
	domains := make(map[string]bool)
	for _, replica := range replicas {
		if replica.GetId() == 0 || ids[replica.GetId()] || addresses[replica.GetAddress()] {
			return invalid("replica IDs and addresses must be given and differ")
		}
		if !replica.GetLearner() && domains[replica.GetFailureDomain()] {
			return invalid("two voters are in failure domain %q", replica.GetFailureDomain())
		}
		ids[replica.GetId()] = true
		addresses[replica.GetAddress()] = true
		domains[replica.GetFailureDomain()] = domains[replica.GetFailureDomain()] || !replica.GetLearner()
		refusal := first(
			checkName("address", replica.GetAddress()),
			checkName("failure_domain", replica.GetFailureDomain()),
		)
		if refusal != nil {
			return refusal
		}
	}
	return checkName("region", placement.GetRegion())
}

func checkHost(host *configpb.ControlHost) *configpb.Refusal {
	return first(
		checkName("address", host.GetAddress()),
		checkName("host", host.GetHost()),
		checkName("region", host.GetRegion()),
		checkName("failure_domain", host.GetFailureDomain()),
	)
}

// first returns the first refusal of the list, or nil.
func first(refusals ...*configpb.Refusal) *configpb.Refusal {
	for _, refusal := range refusals {
		if refusal != nil {
			return refusal
		}
	}
	return nil
}
