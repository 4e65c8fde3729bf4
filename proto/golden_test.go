package proto

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protopath"
	"google.golang.org/protobuf/reflect/protorange"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"gotest.tools/v3/assert"

	_ "ibistray.example/ibistray/proto/configpb"
	_ "ibistray.example/ibistray/proto/fleetpb"
	_ "ibistray.example/ibistray/proto/ledgerpb"
	_ "ibistray.example/ibistray/proto/raftpb"
	_ "ibistray.example/ibistray/proto/rpcpb"
	_ "ibistray.example/ibistray/proto/shardpb"
)

// TestMessagesOfEarlierBuildsAreDecoded decodes messages that earlier builds encoded, one for each
// type and each variant, with all fields set. Each must come back as it was: a field that was
// renumbered, removed or given another type does not.
func TestMessagesOfEarlierBuildsAreDecoded(t *testing.T) {
	files, err := filepath.Glob("testdata/messages-*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, path := range files {
		t.Run(path, func(t *testing.T) {
			file, err := os.Open(path)
			assert.NilError(t, err)
			defer file.Close()
			lines := bufio.NewScanner(file)
			lines.Buffer(nil, 1<<20)
			count := 0
			for ; lines.Scan(); count++ {
				name, encoded, _ := strings.Cut(lines.Text(), " ")
				requireSame(t, protoreflect.FullName(name), encoded)
			}
			assert.NilError(t, lines.Err())
			assert.Assert(t, count > 0)
		})
	}
}

// requireSame decodes a message of the named type and encodes it again.
func requireSame(t *testing.T, name protoreflect.FullName, encoded string) {
	t.Helper()
	data, err := hex.DecodeString(encoded)
	assert.NilError(t, err)
	messageType, err := protoregistry.GlobalTypes.FindMessageByName(name)
	assert.NilError(t, err)
	message := messageType.New()
	assert.NilError(t, proto.Unmarshal(data, message.Interface()), name)
	assert.NilError(t, protorange.Range(message, func(values protopath.Values) error {
		if nested, ok := values.Index(-1).Value.Interface().(protoreflect.Message); ok && len(nested.GetUnknown()) > 0 {
			return fmt.Errorf("%s has unknown fields", values.Path)
		}
		return nil
	}))
	again, err := proto.MarshalOptions{Deterministic: true}.Marshal(message.Interface())
	assert.NilError(t, err)
	assert.Equal(t, hex.EncodeToString(again), encoded, "%s", name)
}
