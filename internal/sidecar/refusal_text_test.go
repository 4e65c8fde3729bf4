package sidecar

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/backend"
)

// TestRefusalWithUnreadableTextReachesTheEntry guards against errors of backend servers whose
// text no message can carry: the entry received no refusal, only a broken stream.
func TestRefusalWithUnreadableTextReachesTheEntry(t *testing.T) {
	cut := strings.Repeat("é", 10)[:9]
	for _, text := range []string{"\xff\xfe", cut} {
		refused := classifyError(t.Context(), &backend.StatusError{Status: 503, Message: text})
		_, err := proto.Marshal(refused)
		assert.NilError(t, err)
		assert.Assert(t, refused.NotRun)
		assert.Equal(t, refused.Status, int32(503))
	}
}
