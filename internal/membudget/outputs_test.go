package membudget

import (
	"bytes"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/internal/policy/memory"
)

func newTestOutputs(limit int64) (*Outputs, *atomic.Int64) {
	observed := new(atomic.Int64)
	return NewOutputs(limit, func(_ Kind, bytes int64) { observed.Add(bytes) }), observed
}

func TestOutputHoldsWhatWasAppended(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outputs, observed := newTestOutputs(0)
		output := outputs.New()
		var want []byte
		for _, size := range rapid.SliceOfN(rapid.IntRange(0, 100_000), 0, 30).Draw(t, "sizes") {
			data := bytes.Repeat([]byte{byte('a' + len(want)%26)}, size)
			assert.NilError(t, output.Append(data))
			want = append(append(want, data...), '\n')
		}
		assert.Equal(t, output.Len(), len(want))
		assert.Assert(t, outputs.Held() >= int64(len(want)) && outputs.Held() <= int64(2*len(want)+minPartBytes))
		got, err := output.Take()
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, want))
		output.Release()
		assert.Equal(t, outputs.Held()+observed.Load(), int64(0))
	})
}

func TestOutputWithoutEndIsRefused(t *testing.T) {
	outputs, _ := newTestOutputs(0)
	output := outputs.New()
	for range memory.MaxOutputBytes >> 10 {
		assert.NilError(t, output.Append(make([]byte, 1<<10-1)))
	}
	assert.ErrorIs(t, output.Append(nil), ErrOutputTooLarge)
}

// TestOutputsWithoutEndStayWithinTheirLimit has streams without end beside one that ends.
func TestOutputsWithoutEndStayWithinTheirLimit(t *testing.T) {
	const limit, endless = 2 << 20, 40
	outputs, observed := newTestOutputs(limit)
	sound := outputs.New()
	assert.NilError(t, sound.Append(make([]byte, memory.SmallOutputBytes/2)))
	var streams sync.WaitGroup
	for range endless {
		streams.Go(func() {
			for range 20 {
				output := outputs.New()
				ended := make(chan struct{})
				output.OnEnd(func() { close(ended) })
				for n := 0; output.Append(make([]byte, 1<<10)) == nil; n++ {
					// Each goroutine may have counted a part that ends another output.
					if held := outputs.Held(); held > limit+endless*maxPartBytes {
						t.Errorf("%d bytes are held", held)
					}
				}
				<-ended
				if _, err := output.Take(); err == nil {
					t.Error("an output that was ended is taken for complete")
				}
				output.Release()
			}
		})
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		streams.Wait()
	}()
	// The last streams alone do not reach the limit.
	filler := outputs.New()
	for {
		select {
		case <-finished:
			filler.Release()
			content, err := sound.Take()
			assert.NilError(t, err)
			assert.Equal(t, len(content), memory.SmallOutputBytes/2+1)
			sound.Release()
			assert.Equal(t, outputs.Held()+observed.Load(), int64(0))
			return
		default:
			if filler.Append(make([]byte, 1<<10)) != nil {
				filler.Release()
				filler = outputs.New()
			}
		}
	}
}
