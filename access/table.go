package access

import "github.com/damaskpitch/damaskpitch/plan"

// Table finds customers by their keys. It is immutable; nil is a table without customers.
type Table struct {
	customers []plan.Customer
	byDigest  map[plan.Digest]*plan.Customer
	byName    map[string]*plan.Customer
}

// NewTable returns a table of a plan's customers, or nil if there are none. The list must
// not change afterwards.
func NewTable(customers []plan.Customer) *Table {
	if len(customers) == 0 {
		return nil
	}
	t := &Table{
		customers: customers,
		byDigest:  make(map[plan.Digest]*plan.Customer, len(customers)),
		byName:    make(map[string]*plan.Customer, len(customers)),
	}
	for n := range customers {
		c := &customers[n]
		t.byName[c.Name] = c
		for _, k := range c.Keys {
			t.byDigest[k.Digest()] = c
		}
	}
	return t
}

// IsOf reports whether the table was made of this list.
func (t *Table) IsOf(customers []plan.Customer) bool {
	if t == nil || len(customers) == 0 {
		return t == nil && len(customers) == 0
	}
	return len(t.customers) == len(customers) && &t.customers[0] == &customers[0]
}

// Find returns the customer whose key has this secret.
func (t *Table) Find(secret string) (*plan.Customer, bool) {
	if t == nil || secret == "" || len(secret) > plan.MaxKey {
		return nil, false
	}
	c, ok := t.byDigest[plan.DigestOf(secret)]
	return c, ok
}

// Named returns the customer with a name.
func (t *Table) Named(name string) (*plan.Customer, bool) {
	if t == nil {
		return nil, false
	}
	c, ok := t.byName[name]
	return c, ok
}
