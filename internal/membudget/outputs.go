package membudget

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"ibistray.example/ibistray/internal/policy/memory"
)

// Errors of outputs.
var (
	// ErrOutputTooLarge says that an output would exceed memory.MaxOutputBytes.
	ErrOutputTooLarge = fmt.Errorf("membudget: output is larger than %d bytes", memory.MaxOutputBytes)
	// ErrOutputEnded says that an output was ended since the outputs together hold too much.
	ErrOutputEnded = errors.New("membudget: output was ended for lack of memory")
)

// Sizes of the parts in which an output is stored, in bytes.
const (
	minPartBytes = 2 << 10
	maxPartBytes = 64 << 10
)

// Outputs limits what the outputs of all running turns hold together. It is safe for concurrent
// use.
type Outputs struct {
	limit   int64 // 0: none
	observe func(kind Kind, bytes int64)
	held    atomic.Int64

	mu    sync.Mutex
	large map[*Output]struct{} // that hold more than memory.SmallOutputBytes
}

// NewOutputs returns a limit of the given number of bytes for all outputs, 0 for none. observe is
// called with each change of the held bytes, from any goroutine.
func NewOutputs(limit int64, observe func(kind Kind, bytes int64)) *Outputs {
	return &Outputs{limit: limit, observe: observe, large: make(map[*Output]struct{})}
}

// Held returns the bytes that all outputs hold.
func (o *Outputs) Held() int64 { return o.held.Load() }

// New returns an empty output.
func (o *Outputs) New() *Output { return &Output{outputs: o} }

func (o *Outputs) add(bytes int64) int64 {
	o.observe(KeptOutputs, bytes)
	return o.held.Add(bytes)
}

// grow counts more bytes for an output and ends the largest ones if all together exceed the limit.
func (o *Outputs) grow(output *Output, bytes int64) {
	before := output.held.Load()
	after := output.held.Add(bytes)
	held := o.add(bytes)
	if before <= memory.SmallOutputBytes && after > memory.SmallOutputBytes {
		o.mu.Lock()
		o.large[output] = struct{}{}
		o.mu.Unlock()
	}
	if o.limit > 0 && held > o.limit {
		o.endLargest()
	}
}

func (o *Outputs) endLargest() {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*Output, 0, len(o.large))
	sizes := make([]int64, 0, len(o.large))
	for output := range o.large {
		list = append(list, output)
		sizes = append(sizes, output.held.Load())
	}
	for _, i := range memory.OutputsToEnd(sizes, o.held.Load()-o.limit) {
		delete(o.large, list[i])
		list[i].end()
	}
}

func (o *Outputs) forget(output *Output) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.large, output)
}

// Output is the output of one running turn. Its methods, but for the limit of all outputs, are
// called from one goroutine.
type Output struct {
	outputs *Outputs
	held    atomic.Int64 // capacity of parts

	mu    sync.Mutex
	parts [][]byte
	size  int
	ended bool
	onEnd func()
}

// Append adds the data of an event and a line feed. After an error the output is of no use.
// Errors: ErrOutputTooLarge, ErrOutputEnded.
func (p *Output) Append(data []byte) error {
	if p.Len()+len(data)+1 > memory.MaxOutputBytes {
		return ErrOutputTooLarge
	}
	p.reserve(len(data) + 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return ErrOutputEnded
	}
	p.write(data)
	p.write([]byte{'\n'})
	return nil
}

// reserve adds a part if the last one has no room for n more bytes.
func (p *Output) reserve(n int) {
	p.mu.Lock()
	if count := len(p.parts); count > 0 {
		n -= cap(p.parts[count-1]) - len(p.parts[count-1])
	}
	ended := p.ended
	p.mu.Unlock()
	if n <= 0 || ended {
		return
	}
	size := max(n, minPartBytes, min(maxPartBytes, int(p.held.Load())))
	p.outputs.grow(p, int64(size))
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		p.parts = append(p.parts, make([]byte, 0, size))
	}
}

// write fills the room of the last two parts. The caller holds the mutex.
func (p *Output) write(data []byte) {
	p.size += len(data)
	for i := max(0, len(p.parts)-2); len(data) > 0; i++ {
		n := min(len(data), cap(p.parts[i])-len(p.parts[i]))
		p.parts[i] = append(p.parts[i], data[:n]...)
		data = data[n:]
	}
}

// OnEnd sets a function that is called when the output is ended for lack of memory, at once if it
// is already. nil removes it.
func (p *Output) OnEnd(f func()) {
	p.mu.Lock()
	p.onEnd = f
	ended := p.ended
	p.mu.Unlock()
	if ended && f != nil {
		f()
	}
}

// end drops the content. The caller has removed the output from those that can be ended.
func (p *Output) end() {
	p.mu.Lock()
	p.ended = true
	p.parts = nil
	onEnd := p.onEnd
	p.mu.Unlock()
	p.outputs.add(-p.held.Swap(0))
	if onEnd != nil {
		onEnd()
	}
}

// Len returns the size of the content in bytes.
func (p *Output) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.size
}

// Take returns the content in one piece. The output cannot be ended any more and is only to be
// released. Error: ErrOutputEnded.
func (p *Output) Take() ([]byte, error) {
	p.outputs.forget(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return nil, ErrOutputEnded
	}
	content := slices.Concat(p.parts...)
	p.parts = nil
	return content, nil
}

// Release gives the memory back. The output must not be used again.
func (p *Output) Release() {
	p.outputs.forget(p)
	p.mu.Lock()
	p.parts = nil
	p.mu.Unlock()
	if held := p.held.Swap(0); held > 0 {
		p.outputs.add(-held)
	}
}
