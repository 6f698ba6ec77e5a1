package customers

// Directory holds the customers of one version of the configuration. It is immutable and safe for concurrent use.
// A nil Directory stands for a configuration without customers.
type Directory struct {
	byKey map[Digest]*Customer
	// limited means that at least one customer has a limit.
	limited bool
	// sharingKey holds the names of customers that share a key with another.
	sharingKey []string
}

// NewDirectory returns the directory of a list of customers. A key of two customers identifies neither of them,
// because either could be charged for the other's requests.
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

// add assigns a key to a customer. A key of several customers stays in the directory, without a customer.
func (d *Directory) add(key Digest, customer *Customer) {
	owner, exists := d.byKey[key]
	switch {
	case !exists:
		d.byKey[key] = customer
	case owner == nil:
		d.sharingKey = append(d.sharingKey, customer.Name)
	case owner != customer:
		d.byKey[key] = nil
		d.sharingKey = append(d.sharingKey, owner.Name, customer.Name)
	}
}

// Limited reports whether any customer has a limit.
func (d *Directory) Limited() bool { return d != nil && d.limited }

// SharingKey returns the names of the customers that share a key with another, which identifies none of them.
func (d *Directory) SharingKey() []string {
	if d == nil {
		return nil
	}
	return d.sharingKey
}

// Find returns the customer that a credential identifies, or why it identifies none. If the configuration has no
// customers, no key is required: it returns nil and Accepted.
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
