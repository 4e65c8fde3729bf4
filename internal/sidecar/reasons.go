package sidecar

import (
	"strings"

	"ibistray.example/ibistray/proto/rpcpb"
)

const reasonPrefix = "RUN_REFUSAL_"

// reasonLabel returns the label value of a reason in metrics, such as "leaving".
func reasonLabel(r rpcpb.RunRefusal) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), reasonPrefix))
}
