package customers

// Directory is the customers of one version of the configuration. It does not change once made, and is safe
// for concurrent use. A nil Directory is that of a configuration without customers.
type Directory struct {
	byKey map[Digest]*Customer
	// limited means that a customer has a limit.
	limited bool
	// disputed are the names of customers that share a key.
	disputed []string
}

// NewDirectory returns the directory of a list of customers. A key that two customers have names neither: either
// could be charged for what the other asks.
func NewDirectory(list []Customer) *Directory {
	d := &Directory{byKey: map[Digest]*Customer{}}
	for i := range list {
		d.limited = d.limited || list[i].Limit.PerSecond > 0
		for _, key := range list[i].Keys {
			d.add(key, &list[i])
		}
	}
	return d
}

// add gives a key to a customer. A key that is disputed stays in the directory without a customer.
func (d *Directory) add(key Digest, customer *Customer) {
	holder, held := d.byKey[key]
	switch {
	case !held:
		d.byKey[key] = customer
	case holder == nil:
		d.disputed = append(d.disputed, customer.Name)
	case holder != customer:
		d.byKey[key] = nil
		d.disputed = append(d.disputed, holder.Name, customer.Name)
	}
}

// Limited reports whether any customer has a limit.
func (d *Directory) Limited() bool { return d != nil && d.limited }

// Disputed are the names of the customers that have a key in common, which therefore names none of them.
func (d *Directory) Disputed() []string {
	if d == nil {
		return nil
	}
	return d.disputed
}

// Find returns the customer that a credential names, or why it names none. Without customers in the
// configuration nobody is asked for a key: it returns nil and Accepted.
func (d *Directory) Find(credential Credential) (*Customer, Rejection) {
	if d == nil {
		return nil, Accepted
	}
	if credential.rejection != Accepted {
		return nil, credential.rejection
	}
	customer := d.byKey[credential.digest]
	if customer == nil {
		return nil, UnknownKey
	}
	return customer, Accepted
}
