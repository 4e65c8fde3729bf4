package entry

import "sync"

// maxPlaces bounds the programs that an entry remembers, in each of two
// generations.
const maxPlaces = 50_000

// programPlace is where a program's prefix was left by its last call through
// this entry.
type programPlace struct {
	server string
	tokens int64
}

// places remembers where programs ran, so that the next call of a program can
// name its server in its first command. It is a hint: the shard takes it only
// where it agrees with what is on record. It is safe for concurrent use.
type places struct {
	mu      sync.Mutex
	current map[string]programPlace
	older   map[string]programPlace
}

func newPlaces() *places {
	return &places{current: make(map[string]programPlace)}
}

// set remembers the place of a program. When a generation is full the older one
// is forgotten.
func (p *places) set(program string, place programPlace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.current) >= maxPlaces {
		p.older = p.current
		p.current = make(map[string]programPlace)
	}
	p.current[program] = place
}

// get returns the place of a program; the zero value when it is not known.
func (p *places) get(program string) programPlace {
	p.mu.Lock()
	defer p.mu.Unlock()
	if place, ok := p.current[program]; ok {
		return place
	}
	return p.older[program]
}
