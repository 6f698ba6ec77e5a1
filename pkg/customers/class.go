package customers

import (
	"cmp"
	"encoding/json"
)

const (
	// maxClasses bounds the classes of one customer that a box or an account knows. Configurations have about ten.
	maxClasses = 32
	// maxServiceBytes bounds the name of a class's service.
	maxServiceBytes = 256
)

// Class is a kind of a customer's requests: those of one service with one urgency.
type Class struct {
	Service string `json:"service,omitempty"`
	// Urgency is 0 for the most urgent.
	Urgency int `json:"urgency,omitempty"`
}

// compare orders classes by service, and those of a service by urgency.
func (c Class) compare(other Class) int {
	return cmp.Or(cmp.Compare(c.Service, other.Service), cmp.Compare(c.Urgency, other.Urgency))
}

// ClassList tells the classes of a SpendRequest's costs. Costs without a class, such as all of a build that sends no
// ClassList, have the zero Class.
type ClassList struct {
	Classes []Class `json:"classes,omitempty"`
	// Of holds the index in Classes for each cost.
	Of []int `json:"of,omitempty"`
	// Unasked holds, for each of Classes, the cost of the requests that the box refused without asking since its last
	// SpendRequest.
	Unasked []float64 `json:"unasked,omitempty"`
	// Invalid means that the list could not be read.
	Invalid bool `json:"-"`
}

// UnmarshalJSON reads a list. One that can't be read becomes an empty one that is marked as invalid, so that the
// costs are decided all the same.
func (l *ClassList) UnmarshalJSON(data []byte) error {
	type plain ClassList
	var read plain
	if err := json.Unmarshal(data, &read); err != nil {
		*l = ClassList{Invalid: true}
		return nil // Invalid reports it.
	}
	*l = ClassList(read)
	return nil
}

// Valid reports whether the list fits a number of costs. If not, no cost has a class.
func (l *ClassList) Valid(costs int) bool {
	if l == nil {
		return true
	}
	if l.Invalid || len(l.Classes) > maxClasses || len(l.Of) != costs || len(l.Unasked) > len(l.Classes) {
		return false
	}
	for _, class := range l.Classes {
		if class.Urgency < 0 || len(class.Service) > maxServiceBytes {
			return false
		}
	}
	return true
}

// class returns the class of a cost.
func (l *ClassList) class(cost int) Class {
	if l == nil || cost >= len(l.Of) || l.Of[cost] < 0 || l.Of[cost] >= len(l.Classes) {
		return Class{}
	}
	return l.Classes[l.Of[cost]]
}

// index returns the index of a class, which it adds, or -1 if the list can't take it.
func (l *ClassList) index(class Class) int {
	for i, known := range l.Classes {
		if known == class {
			return i
		}
	}
	if len(l.Classes) >= maxClasses || class.Urgency < 0 || len(class.Service) > maxServiceBytes {
		return -1
	}
	l.Classes = append(l.Classes, class)
	return len(l.Classes) - 1
}
