package routes

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
)

// sharedGroup is the group of all customers that share context where none is isolated.
const sharedGroup = "shared"

// sharing says which customers share cached context. It depends on nothing but the customers of
// the configuration, so all processes that hold the same one agree, whatever they held before.
type sharing struct {
	// isolated are the names of customers that share no context.
	isolated map[string]bool
	// group is the sharing group of all others.
	group string
}

// newSharing returns the sharing of a configuration. The group of those that share names the set
// of those that do not: no isolated customer's request has ever used the group that others use
// now. A customer whose entry can't be read may be isolated.
func newSharing(version uint64, customers []Customer) sharing {
	s := sharing{isolated: map[string]bool{}, group: sharedGroup}
	isNameLost := false
	for _, c := range customers {
		if c.Isolated || c.Unreadable {
			s.isolated[c.Name] = true
		}
		isNameLost = isNameLost || c.Unreadable && c.Name == ""
	}
	if len(s.isolated) == 0 {
		return s
	}
	h := sha256.New()
	if isNameLost {
		// Nobody knows which customer it is, and it may be another one in another version.
		h.Write(binary.BigEndian.AppendUint64([]byte("version"), version))
	}
	for _, name := range slices.Sorted(maps.Keys(s.isolated)) {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(name))))
		h.Write([]byte(name))
	}
	s.group += " without " + hex.EncodeToString(h.Sum(nil)[:16])
	return s
}

// SharingGroup returns the group of customers that share context with a customer, nil for callers
// without a key. Customers of different groups share none.
func (t *Table) SharingGroup(c *Customer) string {
	if c != nil && (c.Isolated || t.sharing.isolated[c.Name]) {
		return c.ownGroup()
	}
	return t.sharing.group
}

// ownGroup returns the sharing group that is the customer's alone.
func (c *Customer) ownGroup() string {
	if c.Name != "" {
		return "customer " + c.Name
	}
	h := sha256.New()
	for _, key := range slices.Sorted(slices.Values(c.Keys)) {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(key))))
		h.Write([]byte(key))
	}
	return "keys " + hex.EncodeToString(h.Sum(nil)[:16])
}

// Isolated returns, sorted, the names of the customers that share no context.
func (t *Table) Isolated() []string { return slices.Sorted(maps.Keys(t.sharing.isolated)) }

// WallsChanged returns the names of the customers that share no context in this table but did in an
// earlier one, of those that did not share any in the earlier one but do in this, and of those that
// did not and are no longer customers.
func (t *Table) WallsChanged(earlier *Table) (isolated, shared, deleted []string) {
	for _, name := range missingIn(t.sharing.isolated, earlier.Isolated()) {
		if slices.ContainsFunc(t.customers, func(c Customer) bool { return c.Name == name }) {
			shared = append(shared, name)
		} else {
			deleted = append(deleted, name)
		}
	}
	return missingIn(earlier.sharing.isolated, t.Isolated()), shared, deleted
}

// missingIn returns the names that a set does not contain.
func missingIn(set map[string]bool, names []string) []string {
	return slices.DeleteFunc(names, func(name string) bool { return set[name] })
}
