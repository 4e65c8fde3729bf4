package order

// customerService accounts for the service of each customer in proportion to
// its share (start-time fair queueing). It keeps an entry only for customers
// that wait or that were served more than others while some call waited. The
// zero value is empty.
type customerService struct {
	entries map[string]*customerEntry
	waiting int     // calls of all customers
	floor   float64 // service of the customer that was served last, at its start
}

type customerEntry struct {
	service float64
	waiting int
}

// join counts a waiting call. A customer that was idle starts at the floor: it
// keeps no credit for the time in which it did not ask. The entry stays valid
// until the call leaves.
func (s *customerService) join(customer string) *customerEntry {
	if s.entries == nil {
		s.entries = make(map[string]*customerEntry)
	}
	e := s.entries[customer]
	if e == nil {
		e = &customerEntry{}
		s.entries[customer] = e
	}
	if e.waiting == 0 {
		e.service = max(e.service, s.floor)
	}
	e.waiting++
	s.waiting++
	return e
}

// serve charges a call to its customer, which must have joined.
func (s *customerService) serve(c *Call) {
	e := s.entries[c.Customer]
	s.floor = max(s.floor, e.service)
	e.service += float64(max(c.Cost, 1)) / float64(max(c.SharePermille, 1))
}

// leave ends the wait of one call and drops entries that carry no information.
// Once nobody waits all customers are equal again.
func (s *customerService) leave(customer string) {
	e := s.entries[customer]
	e.waiting--
	s.waiting--
	if s.waiting == 0 {
		*s = customerService{}
		return
	}
	if e.waiting > 0 {
		return
	}
	for name, entry := range s.entries {
		if entry.waiting == 0 && entry.service <= s.floor {
			delete(s.entries, name)
		}
	}
}
