package routing

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ErrInvalid is wrapped by the errors of documents that fail validation.
var ErrInvalid = errors.New("routing: invalid document")

// Validate returns an error that wraps ErrInvalid if a route names an unknown
// service, has a negative weight, weights that add up to 0 or no positive timeout,
// or if two routes share host and prefix. It also builds the index that Match uses.
func (d *Document) Validate() error {
	d.byHost = make(map[string][]*Route)
	type routeKey struct{ host, prefix string }
	seen := make(map[routeKey]bool, len(d.Routes))
	for _, r := range d.Routes {
		if err := d.validateRoute(r); err != nil {
			return fmt.Errorf("%w: route %q: %w", ErrInvalid, r.Name, err)
		}
		key := routeKey{host: hostKey(r.Host), prefix: r.Prefix}
		if seen[key] {
			return fmt.Errorf("%w: two routes for host %q and prefix %q", ErrInvalid, r.Host, r.Prefix)
		}
		seen[key] = true
		d.byHost[key.host] = append(d.byHost[key.host], r)
	}
	for _, routes := range d.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return nil
}

func (d *Document) validateRoute(r *Route) error {
	totalWeight := 0
	for _, b := range r.Backends {
		if d.Services[b.Service] == nil {
			return fmt.Errorf("unknown service %q", b.Service)
		}
		if b.Weight < 0 {
			return fmt.Errorf("weight %d of service %q is negative", b.Weight, b.Service)
		}
		totalWeight += b.Weight
	}
	switch {
	case totalWeight == 0:
		return errors.New("the weights of its services add up to 0")
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v is not positive", r.Timeout)
	}
	return nil
}

// hostKey returns a host name in lower case and without its port.
func hostKey(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route of a host that has the longest matching path prefix, or
// nil if no route matches. Validate must have succeeded before.
func (d *Document) Match(host, path string) *Route {
	for _, r := range d.byHost[hostKey(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ChooseService returns the name of the service that serves requests with a key. Keys
// are spread over the services by weight, and the same key always gets the same
// service. It returns "" if the weights add up to 0.
func (r *Route) ChooseService(key string) string {
	totalWeight := 0
	for _, b := range r.Backends {
		totalWeight += b.Weight
	}
	if totalWeight <= 0 {
		return ""
	}
	slot := int(xxhash.Sum64String(key) % uint64(totalWeight))
	for _, b := range r.Backends {
		if slot < b.Weight {
			return b.Service
		}
		slot -= b.Weight
	}
	return ""
}

// ServingServices returns the names of the services to which the route sends requests.
func (r *Route) ServingServices() []string {
	var names []string
	for _, b := range r.Backends {
		if b.Weight > 0 {
			names = append(names, b.Service)
		}
	}
	return names
}
