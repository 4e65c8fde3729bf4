package entry

import "sync"

// maxPrefixLocations is the maximum number of programs in each of the two generations
// of prefixLocations.
const maxPrefixLocations = 50_000

// prefixLocation is the server that has a program's prefix in its cache after the
// program's last call through this entry.
type prefixLocation struct {
	server string // server ID
	tokens int64  // length of the prefix
}

// prefixLocations remembers on which server each program last ran, so that the Begin
// command of its next call can already name a server. The locations are only hints: the
// shard accepts the server only if that agrees with its own record. The cache keeps
// two generations and discards the older one when the current one is full. It is safe
// for concurrent use.
type prefixLocations struct {
	mu       sync.Mutex
	current  map[string]prefixLocation
	previous map[string]prefixLocation
}

func newPrefixLocations() *prefixLocations {
	return &prefixLocations{current: make(map[string]prefixLocation)}
}

// set stores the location of a program's prefix.
func (p *prefixLocations) set(program string, location prefixLocation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.current) >= maxPrefixLocations {
		p.previous = p.current
		p.current = make(map[string]prefixLocation)
	}
	p.current[program] = location
}

// get returns the location of a program's prefix, or the zero value if it is unknown.
func (p *prefixLocations) get(program string) prefixLocation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if location, ok := p.current[program]; ok {
		return location
	}
	return p.previous[program]
}
