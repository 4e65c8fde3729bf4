package statehost

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/fleetpb"
)

// configState is the state machine of the configuration group: the routes in
// force and the control hosts that are to be emptied.
type configState struct {
	mu          sync.RWMutex
	routes      *fleetpb.Routes // nil: none yet
	retirements map[string]*fleetpb.Retirement
	changed     chan struct{} // closed and replaced at each change
}

func newConfigState() *configState {
	return &configState{
		retirements: make(map[string]*fleetpb.Retirement),
		changed:     make(chan struct{}),
	}
}

// Apply implements replica.StateMachine. The highest version of the routes takes
// effect; a lower or equal one changes nothing. A command that cannot be decoded
// changes nothing.
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
	}
	s.notify()
	return nil
}

// notify wakes those who wait for a change. The caller holds the mutex.
func (s *configState) notify() {
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
		return fmt.Errorf("statehost: encode snapshot: %w", err)
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

// Restore implements replica.StateMachine.
func (s *configState) Restore(r io.Reader) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	snapshot := new(fleetpb.ConfigSnapshot)
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return fmt.Errorf("statehost: damaged snapshot: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes = snapshot.Routes
	s.retirements = make(map[string]*fleetpb.Retirement)
	for _, retirement := range snapshot.Retirements {
		s.retirements[retirement.Address] = retirement
	}
	s.notify()
	return nil
}

// read returns the state and a channel that is closed at the next change.
func (s *configState) read() (*fleetpb.ConfigResponse, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return &fleetpb.ConfigResponse{Routes: s.routes, Retirements: s.sortedRetirements()}, s.changed
}

// retiring reports whether the host at an address is to be emptied.
func (s *configState) retiring(address string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.retirements[address] != nil
}
