package wal

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"ibistray.example/ibistray/proto/raftpb"
)

const (
	defaultSegmentSize = 16 << 20 // bytes
	maxFrameBytes      = 4 << 20  // bytes of requests that share a frame
	logFolder          = "wal"
	lockFile           = "lock"
)

// Options are the settings of a log.
type Options struct {
	FS          FS        // default: OS()
	Dir         string    // data folder; created when missing
	SegmentSize int64     // bytes after which a new segment starts; default 16 MiB
	Random      io.Reader // source of the disk ID; default: crypto/rand
	Logger      hclog.Logger
	Registerer  prometheus.Registerer // nil: no metrics
	// OnFailure is called once when a write or fsync fails.
	OnFailure func(error)
}

func (o *Options) setDefaults() {
	if o.FS == nil {
		o.FS = OS()
	}
	if o.SegmentSize <= 0 {
		o.SegmentSize = defaultSegmentSize
	}
	if o.Random == nil {
		o.Random = rand.Reader
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.OnFailure == nil {
		o.OnFailure = func(error) {}
	}
}

// Log is the write-ahead log of a host. Its methods may be called from several
// goroutines.
type Log struct {
	opts    Options
	dir     string // of the segments
	lock    io.Closer
	metrics *metrics
	stopped chan struct{} // closed when the writer has returned

	mu       sync.Mutex
	wake     *sync.Cond
	queue    []*request
	closing  bool
	failure  error
	segments []*segment // the last one is written to
	groups   map[uint64]*marker

	identity Identity
	writer   writer // used by the writer goroutine only
}

// marker is what a new segment repeats of a group.
type marker struct {
	hardState *raftpb.HardState
	snapshot  *raftpb.SnapshotMeta
	bindings  []Binding
}

// request is one append.
type request struct {
	updates []Update
	payload []byte
	done    func(error)
}

// Open opens the log of a data folder and returns the state of each group. It
// returns ErrLocked when another process uses the folder, and ErrCorrupt when
// data that may have been acknowledged is damaged or missing.
func Open(opts Options) (*Log, map[uint64]*GroupState, error) {
	opts.setDefaults()
	dir := filepath.Join(opts.Dir, logFolder)
	if err := makeFolders(opts.FS, opts.Dir, dir); err != nil {
		return nil, nil, err
	}
	lock, err := opts.FS.Lock(filepath.Join(opts.Dir, lockFile))
	if err != nil {
		return nil, nil, fmt.Errorf("wal: lock %s: %w", opts.Dir, err)
	}
	l, groups, err := openLocked(opts, dir, lock)
	if err != nil {
		lock.Close()
		return nil, nil, err
	}
	go l.run()
	return l, groups, nil
}

func makeFolders(fs FS, dirs ...string) error {
	for _, dir := range dirs {
		if err := fs.MkdirAll(dir); err != nil {
			return fmt.Errorf("wal: make folder: %w", err)
		}
	}
	return nil
}

func openLocked(opts Options, dir string, lock io.Closer) (*Log, map[uint64]*GroupState, error) {
	id, found, err := loadIdentity(opts.FS, opts.Dir)
	if err != nil {
		return nil, nil, err
	}
	r, err := recoverLog(opts.FS, dir)
	if err != nil {
		return nil, nil, err
	}
	if err := checkPresence(found, r); err != nil {
		return nil, nil, err
	}
	l := newLog(opts, dir, lock, r)
	if err := l.startSegment(); err != nil {
		return nil, nil, err
	}
	if !found {
		if id, err = l.initIdentity(); err != nil {
			return nil, nil, err
		}
	}
	l.identity = id
	return l, r.groups, nil
}

// checkPresence returns ErrCorrupt when the identity or the segments are gone.
// On first use the first segment is written before the identity.
func checkPresence(identity bool, r *recovery) error {
	if identity && len(r.segments) == 0 {
		return fmt.Errorf("%w: the data folder has an identity and no segments", ErrCorrupt)
	}
	if !identity && len(r.groups) > 0 {
		return fmt.Errorf("%w: the data folder has segments and no identity", ErrCorrupt)
	}
	return nil
}

func newLog(opts Options, dir string, lock io.Closer, r *recovery) *Log {
	l := &Log{
		opts:     opts,
		dir:      dir,
		lock:     lock,
		metrics:  newMetrics(opts.Registerer),
		stopped:  make(chan struct{}),
		segments: r.segments,
		groups:   make(map[uint64]*marker),
	}
	l.wake = sync.NewCond(&l.mu)
	l.writer.sequence = r.sequence
	for group, state := range r.groups {
		l.groups[group] = &marker{
			hardState: state.HardState,
			snapshot:  state.Snapshot,
			bindings:  state.Bindings,
		}
	}
	return l
}

func (l *Log) initIdentity() (Identity, error) {
	id, err := newIdentity(l.opts.Random)
	if err != nil {
		return Identity{}, err
	}
	return id, saveIdentity(l.opts.FS, l.opts.Dir, id)
}

// Identity returns the identity of the disk.
func (l *Log) Identity() Identity {
	return l.identity
}

// Append makes the updates durable. They are recovered together or not at all.
func (l *Log) Append(updates []Update) error {
	result := make(chan error, 1)
	l.AppendAsync(updates, func(err error) { result <- err })
	return <-result
}

// AppendAsync queues the updates and calls done when they are durable or
// refused. Appends are written in the order of the calls, and done is called in
// the same order, from one goroutine; it must not block. The updates must not be
// changed after the call.
func (l *Log) AppendAsync(updates []Update, done func(error)) {
	payload, err := encodeUpdates(updates)
	if err != nil {
		done(err)
		return
	}
	req := &request{updates: updates, payload: payload, done: done}
	if err := l.enqueue(req); err != nil {
		done(err)
	}
}

func encodeUpdates(updates []Update) ([]byte, error) {
	var payload []byte
	var err error
	for i := range updates {
		payload, err = appendUpdate(payload, &updates[i])
		if err != nil {
			return nil, err
		}
	}
	if len(payload) > maxPayload/2 {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(payload))
	}
	return payload, nil
}

func (l *Log) enqueue(req *request) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return l.failure
	}
	if l.closing {
		return ErrClosed
	}
	l.queue = append(l.queue, req)
	l.wake.Signal()
	return nil
}

// Close writes what is queued, closes the log and releases the data folder.
func (l *Log) Close() error {
	l.mu.Lock()
	l.closing = true
	l.wake.Signal()
	l.mu.Unlock()
	<-l.stopped
	return errors.Join(l.writer.close(), l.lock.Close())
}
