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

	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/proto/raftpb"
)

const (
	defaultSegmentBytes = 16 << 20 // bytes
	maxBatchBytes       = 4 << 20  // payload of the requests that share a frame
	segmentDirName      = "wal"
	lockFileName        = "lock"
)

// Options configure a log.
type Options struct {
	FS          FS        // default: OS()
	Dir         string    // data directory; created when missing
	SegmentSize int64     // bytes after which a new segment starts; default: 16 MiB
	Random      io.Reader // source of the disk ID; default: crypto/rand
	Logger      hclog.Logger
	Registerer  prometheus.Registerer // nil: no metrics
	// BeforeWrite is called by Open with the recovered state before Open writes anything, so
	// that files can be removed from a full disk. The last frame of the state may not be
	// durable yet. Open returns its error.
	BeforeWrite func(map[uint64]*GroupState) error
	// OnFailure is called once, when a write or fsync fails.
	OnFailure func(error)
}

func (o *Options) setDefaults() {
	if o.FS == nil {
		o.FS = OS()
	}
	if o.SegmentSize <= 0 {
		o.SegmentSize = defaultSegmentBytes
	}
	if o.Random == nil {
		o.Random = rand.Reader
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.BeforeWrite == nil {
		o.BeforeWrite = func(map[uint64]*GroupState) error { return nil }
	}
	if o.OnFailure == nil {
		o.OnFailure = func(error) {}
	}
}

// Log is the write-ahead log of a host. It is safe for concurrent use.
type Log struct {
	opts       Options
	segmentDir string
	lock       io.Closer
	metrics    *metrics
	writerDone chan struct{} // closed when the writer goroutine has returned

	mu           sync.Mutex
	queueChanged *sync.Cond // signaled after an enqueue and at Close
	queue        []*appendRequest
	closing      bool
	failure      error
	segments     []*segment // in order of their numbers; the last one is being written
	groups       map[uint64]*groupCheckpoint

	identity Identity
	writer   writer // used only by the writer goroutine while it runs
}

// groupCheckpoint is the state of a group that the first frame of each segment
// repeats.
type groupCheckpoint struct {
	hardState *raftpb.HardState
	snapshot  *raftpb.SnapshotMeta
	bindings  []Binding
}

// appendRequest is a queued call of AppendAsync.
type appendRequest struct {
	updates []Update
	payload []byte
	done    func(error)
}

// Open opens the log in a data directory and returns the state of each group. It
// returns ErrLocked when another process uses the directory, and ErrCorrupt when
// data that may have been acknowledged is damaged or missing.
func Open(opts Options) (*Log, map[uint64]*GroupState, error) {
	opts.setDefaults()
	dir := filepath.Join(opts.Dir, segmentDirName)
	if err := createDirs(opts.FS, opts.Dir, dir); err != nil {
		return nil, nil, err
	}
	lock, err := opts.FS.Lock(filepath.Join(opts.Dir, lockFileName))
	if err != nil {
		return nil, nil, fmt.Errorf("wal: lock %s: %w", opts.Dir, err)
	}
	var l *Log
	var groups map[uint64]*GroupState
	if panicked := panics.Contain(opts.Logger, "write-ahead log", func() { l, groups, err = openLocked(opts, dir, lock) }); panicked != nil {
		err = panicked
	}
	if err != nil {
		lock.Close()
		return nil, nil, err
	}
	go l.writeUntilClosed()
	return l, groups, nil
}

func createDirs(fs FS, dirs ...string) error {
	for _, dir := range dirs {
		if err := fs.MkdirAll(dir); err != nil {
			return fmt.Errorf("wal: create directory %s: %w", dir, err)
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
	if err := checkIdentityAndSegments(found, r); err != nil {
		return nil, nil, err
	}
	if err := opts.BeforeWrite(r.groups); err != nil {
		return nil, nil, err
	}
	if err := r.rewriteLastSegment(); err != nil {
		return nil, nil, err
	}
	l := newLog(opts, dir, lock, r)
	if err := l.begin(id, found); err != nil {
		// An open file would keep its room on the disk after its removal.
		l.writer.close()
		return nil, nil, err
	}
	return l, r.groups, nil
}

// begin starts a segment and creates the identity of the disk unless there is one. The start that
// created it may have failed before its name was durable.
func (l *Log) begin(id Identity, found bool) error {
	if err := l.startSegment(); err != nil {
		return err
	}
	if found {
		if err := l.opts.FS.SyncDir(l.opts.Dir); err != nil {
			return fmt.Errorf("wal: sync directory %s: %w", l.opts.Dir, err)
		}
	}
	if !found {
		var err error
		if id, err = l.createIdentity(); err != nil {
			return err
		}
	}
	l.identity = id
	return nil
}

// checkIdentityAndSegments returns ErrCorrupt when only one of the identity and the
// segments exists. A first start that was interrupted may leave a segment without
// groups and no identity, because the first segment is written before the identity.
func checkIdentityAndSegments(hasIdentity bool, r *recovery) error {
	if hasIdentity && len(r.segments) == 0 {
		return fmt.Errorf("%w: the data directory has an identity but no segments", ErrCorrupt)
	}
	if !hasIdentity && len(r.groups) > 0 {
		return fmt.Errorf("%w: the data directory has segments but no identity", ErrCorrupt)
	}
	return nil
}

func newLog(opts Options, dir string, lock io.Closer, r *recovery) *Log {
	l := &Log{
		opts:       opts,
		segmentDir: dir,
		lock:       lock,
		metrics:    newMetrics(opts.Registerer),
		writerDone: make(chan struct{}),
		segments:   r.segments,
		groups:     make(map[uint64]*groupCheckpoint),
	}
	l.queueChanged = sync.NewCond(&l.mu)
	l.writer.lastSequence = r.lastSequence
	for group, state := range r.groups {
		l.groups[group] = &groupCheckpoint{
			hardState: state.HardState,
			snapshot:  state.Snapshot,
			bindings:  state.Bindings,
		}
	}
	return l
}

func (l *Log) createIdentity() (Identity, error) {
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

// Append makes the updates durable and returns when they are synced. They are
// recovered together or not at all. Errors: ErrTooLarge, ErrFailed, ErrClosed.
func (l *Log) Append(updates []Update) error {
	result := make(chan error, 1)
	l.AppendAsync(updates, func(err error) { result <- err })
	return <-result
}

// AppendAsync queues the updates and calls done when they are durable or have failed,
// with the errors of Append. Appends are written in the order of the calls, and the
// writer goroutine calls done in the same order; done must not block. A request that
// cannot be queued is refused before AppendAsync returns. The updates must not be
// modified after the call.
func (l *Log) AppendAsync(updates []Update, done func(error)) {
	payload, err := encodeUpdates(updates)
	if err != nil {
		done(err)
		return
	}
	req := &appendRequest{updates: updates, payload: payload, done: done}
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
	if len(payload) > maxPayloadBytes/2 {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, len(payload), maxPayloadBytes/2)
	}
	return payload, nil
}

func (l *Log) enqueue(req *appendRequest) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return l.failure
	}
	if l.closing {
		return ErrClosed
	}
	l.queue = append(l.queue, req)
	l.queueChanged.Signal()
	return nil
}

// Close writes the queued requests, closes the log and releases the lock of the data
// directory.
func (l *Log) Close() error {
	l.mu.Lock()
	l.closing = true
	l.queueChanged.Signal()
	l.mu.Unlock()
	<-l.writerDone
	return errors.Join(l.writer.close(), l.lock.Close())
}
