package order

// fairShares tracks the service that each customer has received relative to its
// share, for start-time fair queueing. It keeps entries only for customers with
// waiting calls and for those that were served more than others in the current
// busy period. The zero value is empty.
type fairShares struct {
	entries     map[string]*customerEntry
	waiting     int     // calls of all customers
	virtualTime float64 // service of the customer that was served last, before that call
}

// customerEntry is the state of one customer in fairShares.
type customerEntry struct {
	service float64 // cost of the served calls divided by the customer's share
	waiting int     // calls
}

// add counts a waiting call and returns the entry of its customer, which stays
// valid until the call is removed. An idle customer starts at the virtual time:
// it earns no credit for the time in which it had no calls.
func (s *fairShares) add(customer string) *customerEntry {
	if s.entries == nil {
		s.entries = make(map[string]*customerEntry)
	}
	e := s.entries[customer]
	if e == nil {
		e = &customerEntry{}
		s.entries[customer] = e
	}
	if e.waiting == 0 {
		e.service = max(e.service, s.virtualTime)
	}
	e.waiting++
	s.waiting++
	return e
}

// charge adds the cost of a call to its customer's service. The call must have
// been added and not yet removed.
func (s *fairShares) charge(c *Call) {
	e := s.entries[c.Customer]
	s.virtualTime = max(s.virtualTime, e.service)
	e.service += float64(max(c.Cost, 1)) / float64(max(c.SharePermille, 1))
}

// remove records that a call no longer waits and drops the entries of idle
// customers whose service does not exceed the virtual time. When no call waits, the
// busy period ends and all customers are equal again.
func (s *fairShares) remove(customer string) {
	e := s.entries[customer]
	e.waiting--
	s.waiting--
	if s.waiting == 0 {
		*s = fairShares{}
		return
	}
	if e.waiting > 0 {
		return
	}
	for name, entry := range s.entries {
		if entry.waiting == 0 && entry.service <= s.virtualTime {
			delete(s.entries, name)
		}
	}
}
