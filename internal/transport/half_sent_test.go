package transport

import (
	"context"
	"encoding/binary"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/rpcpb"
)

// TestHalfSentFramesHoldLittle has peers that announce frames of the largest size on many streams,
// send a part and keep the streams open. What the server holds must be bounded, also when the
// frames are sent nearly whole, and other calls must be served.
func TestHalfSentFramesHoldLittle(t *testing.T) {
	const sessions, streams, maxHeapBytes = 4, 16, 96 << 20
	tests := []struct {
		name   string
		method string
		sent   int // bytes of each frame
	}{
		{"announced only", echoMethod, 0},
		{"first part", echoMethod, 128 << 10},
		{"nearly whole", echoMethod, MaxMessageBytes - 1},
		{"announced before the method", "", 128 << 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := NewServer(hclog.NewNullLogger())
			server.Handle(echoMethod, Unary(echo))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() {
				if err := server.Serve(listener); err != nil {
					t.Error(err)
				}
			}()
			defer server.Close()
			before := heapBytes()
			var senders sync.WaitGroup
			for range sessions {
				conn, err := net.Dial("tcp", listener.Addr().String())
				assert.NilError(t, err)
				session, err := yamux.Client(conn, sessionConfig())
				assert.NilError(t, err)
				defer session.Close()
				for range streams {
					senders.Go(func() { sendHalf(session, test.method, test.sent) })
				}
			}
			time.Sleep(3 * time.Second)
			held := heapBytes() - before
			t.Logf("%d frames half sent: the heap grew by %d bytes", sessions*streams, held)
			assert.Check(t, held <= maxHeapBytes)
			pool := NewPool(DialTCP)
			defer pool.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			resp := new(rpcpb.Announcement)
			assert.NilError(t, pool.Call(ctx, listener.Addr().String(), echoMethod, &rpcpb.Announcement{Server: "s"}, resp))
			server.Close()
			senders.Wait()
		})
	}
}

// sendHalf opens a stream, announces a frame of the largest size and sends a part of it.
func sendHalf(session *yamux.Session, method string, sent int) {
	stream, err := session.OpenStream()
	if err != nil {
		return
	}
	var frame []byte
	if method != "" {
		if frame, err = appendFrame(frame, frameMessage, &rpcpb.Open{Method: method}); err != nil {
			return
		}
	}
	frame = append(frame, byte(frameMessage))
	frame = binary.BigEndian.AppendUint32(frame, MaxMessageBytes)
	if _, err := stream.Write(frame); err != nil {
		return
	}
	block := make([]byte, 32<<10)
	for sent > 0 {
		n, err := stream.Write(block[:min(sent, len(block))])
		if err != nil {
			return
		}
		sent -= n
	}
}

// heapBytes returns the bytes of reachable memory.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
