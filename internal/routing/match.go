package routing

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ErrInvalid says that a document must not come into force.
var ErrInvalid = errors.New("routing: invalid document")

// Validate returns ErrInvalid for a document that must not come into force: a route
// to an unknown service, two routes with the same host and prefix, weights that
// add up to 0 or a timeout of 0. It prepares the document for Match.
func (d *Document) Validate() error {
	d.byHost = make(map[string][]*Route)
	type place struct{ host, prefix string }
	seen := make(map[place]bool, len(d.Routes))
	for _, r := range d.Routes {
		if err := d.checkRoute(r); err != nil {
			return fmt.Errorf("%w: route %q: %w", ErrInvalid, r.Name, err)
		}
		p := place{host: hostKey(r.Host), prefix: r.Prefix}
		if seen[p] {
			return fmt.Errorf("%w: two routes for host %q and prefix %q", ErrInvalid, r.Host, r.Prefix)
		}
		seen[p] = true
		d.byHost[p.host] = append(d.byHost[p.host], r)
	}
	for _, routes := range d.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return nil
}

func (d *Document) checkRoute(r *Route) error {
	sum := 0
	for _, b := range r.Backends {
		if d.Services[b.Service] == nil {
			return fmt.Errorf("unknown service %q", b.Service)
		}
		if b.Weight < 0 {
			return fmt.Errorf("negative weight of service %q", b.Service)
		}
		sum += b.Weight
	}
	switch {
	case sum == 0:
		return errors.New("weights add up to 0")
	case r.Timeout <= 0:
		return errors.New("timeout is 0")
	}
	return nil
}

// hostKey drops the port and the case of a host name.
func hostKey(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route with the longest prefix of a path among those of a
// host, nil if there is none. Check must have succeeded before.
func (d *Document) Match(host, path string) *Route {
	for _, r := range d.byHost[hostKey(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ChooseService returns the service of a request by the weights of a route. Requests
// with the same key get the same service.
func (r *Route) ChooseService(key string) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(key) % uint64(total))
	for _, b := range r.Backends {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	return ""
}
