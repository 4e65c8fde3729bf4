package statehost

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/fleetpb"
)

// configState is the state machine of the configuration group. It holds the routes in
// force and the state hosts that are retiring, and is safe for concurrent use.
type configState struct {
	mu          sync.RWMutex
	routes      *fleetpb.Routes                // nil: none yet
	retirements map[string]*fleetpb.Retirement // by host address
	changed     chan struct{}                  // closed and replaced at each change
	unknown     atomic.Int64                   // commands whose kind only later builds know
}

func newConfigState() *configState {
	return &configState{
		retirements: make(map[string]*fleetpb.Retirement),
		changed:     make(chan struct{}),
	}
}

// Apply implements replica.StateMachine. Routes take effect only if their version is
// higher than that of the routes in force. If the command cannot be decoded, Apply
// changes nothing and returns the error as the result. A command whose kind only later builds
// know changes nothing and is counted.
func (s *configState) Apply(_ uint64, data []byte) any {
	cmd := new(fleetpb.ConfigCommand)
	if err := proto.Unmarshal(data, cmd); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch kind := cmd.Kind.(type) {
	case *fleetpb.ConfigCommand_PutRoutes:
		if s.routes != nil && kind.PutRoutes.Version <= s.routes.Version {
			return nil
		}
		s.routes = kind.PutRoutes
	case *fleetpb.ConfigCommand_Retire:
		s.retirements[kind.Retire.Address] = kind.Retire
	default:
		s.unknown.Add(1)
		return nil
	}
	s.signalChange()
	return nil
}

// signalChange wakes all goroutines that wait for a change. The caller must hold s.mu.
func (s *configState) signalChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot implements replica.StateMachine.
func (s *configState) Snapshot(w io.Writer) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	snapshot := &fleetpb.ConfigSnapshot{Routes: s.routes, Retirements: s.sortedRetirements()}
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return fmt.Errorf("statehost: encode configuration snapshot: %w", err)
	}
	_, err = w.Write(data)
	return err
}

func (s *configState) sortedRetirements() []*fleetpb.Retirement {
	list := make([]*fleetpb.Retirement, 0, len(s.retirements))
	for _, address := range slices.Sorted(maps.Keys(s.retirements)) {
		list = append(list, s.retirements[address])
	}
	return list
}

// Restore implements replica.StateMachine. An empty snapshot resets the state.
func (s *configState) Restore(r io.Reader) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	snapshot := new(fleetpb.ConfigSnapshot)
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return fmt.Errorf("statehost: decode configuration snapshot: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes = snapshot.Routes
	s.retirements = make(map[string]*fleetpb.Retirement)
	for _, retirement := range snapshot.Retirements {
		s.retirements[retirement.Address] = retirement
	}
	s.signalChange()
	return nil
}

// read returns the current state and a channel that is closed at the next change.
func (s *configState) read() (*fleetpb.ConfigResponse, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return &fleetpb.ConfigResponse{Routes: s.routes, Retirements: s.sortedRetirements()}, s.changed
}

// routesInForce returns the routes in force, nil if there are none.
func (s *configState) routesInForce() *fleetpb.Routes {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.routes
}

// retirementList returns the hosts that were asked to retire.
func (s *configState) retirementList() []*fleetpb.Retirement {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sortedRetirements()
}

// isRetiring reports whether the host at the address was asked to retire.
func (s *configState) isRetiring(address string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.retirements[address] != nil
}
