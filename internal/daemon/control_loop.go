package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ibistray.example/ibistray/internal/reopen"
	"ibistray.example/ibistray/internal/wal"
)

// controlLoop runs the control role and opens it again when its storage or its replicas have failed:
// the other roles of the process go on, and acknowledged data is on other hosts meanwhile.
type controlLoop struct {
	daemon *Daemon
	config reopen.Config
	role   *controlRole // nil while it is not open

	stop    chan struct{}
	stopCtx context.Context // limits the stop of the role; set before stop is closed
	ended   chan struct{}   // closed when the loop has ended
	stopErr error           // valid once ended is closed
}

// openControl opens the control role. It waits while another process uses the data directory, such as a
// predecessor that ends, and while the storage refuses operations, until ctx ends.
func (d *Daemon) openControl(ctx context.Context) error {
	l := &controlLoop{daemon: d, stop: make(chan struct{}), ended: make(chan struct{})}
	l.config = reopen.Config{What: "control role", Dir: d.settings.DataDir, Log: d.log.Named("control"), Stop: ctx.Done()}
	opened := make(chan error, 1)
	go func() { opened <- l.config.OnFailure(l.probe().Writable, l.reopenReason, l.open) }()
	select {
	case err := <-opened:
		return l.started(ctx, err)
	case <-ctx.Done():
	}
	select {
	case err := <-opened:
		return l.started(ctx, err)
	case <-time.After(closeTimeout): // a disk that hangs must not delay the end of the process
		return fmt.Errorf("daemon: %w", ctx.Err())
	}
}

// started makes the role that was opened the one of the daemon.
func (l *controlLoop) started(ctx context.Context, err error) error {
	if err == nil && l.role == nil {
		return fmt.Errorf("daemon: %w", ctx.Err())
	}
	if err != nil {
		return err
	}
	l.config.Stop = l.stop
	l.daemon.control = l
	return nil
}

func (l *controlLoop) probe() reopen.Probe { return reopen.NewProbe(l.daemon.fs, l.config.Dir) }

// isLone reports whether no other host has the data of this one.
func (l *controlLoop) isLone() bool { return len(l.daemon.settings.ControlPeers) < 2 }

// reopenReason names a failure after which the role is opened again, or returns "". Damaged data that
// no other host has needs an operator.
func (l *controlLoop) reopenReason(err error) string {
	if !reopen.Possible(err) || l.isLone() && errors.Is(err, wal.ErrCorrupt) {
		return ""
	}
	return reopen.Reason(err)
}

// open opens the role unless it is open, or returns without once the loop must stop.
func (l *controlLoop) open() error {
	if l.role != nil {
		return nil
	}
	setAside := func() error { return reopen.SetAside(l.config.Dir) }
	if l.isLone() {
		setAside = nil
	}
	role, err := reopen.Open(l.config, setAside, func() (*controlRole, error) { return newControlRole(l.daemon) })
	if role == nil {
		return err
	}
	l.role = role
	role.register(l.daemon.server)
	// Peers that send to the replicas which have failed must open new streams.
	l.daemon.server.CloseSessions()
	return nil
}

// run serves the role until Stop, again after a failure that may pass.
func (l *controlLoop) run() {
	defer close(l.ended)
	err := l.config.OnFailure(l.probe().Writable, l.reopenReason, func() error {
		if err := l.open(); err != nil || l.role == nil {
			return err
		}
		return l.serve()
	})
	if err != nil {
		l.daemon.fail(err)
	}
}

// serve runs the background tasks of the role until it fails or must stop.
func (l *controlLoop) serve() error {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { l.role.run(ctx) })
	select {
	case <-l.stop:
		l.stopErr = l.role.stop(l.stopCtx)
		return nil
	case err := <-l.role.failed:
		atOnce, cancel := context.WithCancel(ctx)
		cancel()
		_ = l.role.stop(atOnce) // returns the same failure
		l.role = nil
		return err
	}
}

// close stops the role and waits for the end of run, for stopTimeout at most. ctx limits the transfers of
// leaderships; it may have ended.
func (l *controlLoop) close(ctx context.Context) error {
	l.stopCtx = ctx
	close(l.stop)
	select {
	case <-l.ended:
		return l.stopErr
	case <-time.After(stopTimeout):
		return errNotClosed
	}
}

// roleMetrics registers metrics that are removed together.
type roleMetrics struct {
	prometheus.Registerer
	registered []prometheus.Collector
}

// Register implements prometheus.Registerer.
func (m *roleMetrics) Register(c prometheus.Collector) error {
	err := m.Registerer.Register(c)
	if err == nil {
		m.registered = append(m.registered, c)
	}
	return err
}

// MustRegister implements prometheus.Registerer.
func (m *roleMetrics) MustRegister(collectors ...prometheus.Collector) {
	for _, c := range collectors {
		if err := m.Register(c); err != nil {
			panic(err)
		}
	}
}

func (m *roleMetrics) remove() {
	for _, c := range m.registered {
		m.Unregister(c)
	}
}
