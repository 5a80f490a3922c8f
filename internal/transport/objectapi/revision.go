package objectapi

import "github.com/juju/errors"

// Revision is a place in a store's history. It orders by the store's era first, and within an era
// by the store's own number: a store that comes back from an older copy gives numbers out again,
// so a number alone says neither what was written later nor what is the same.
type Revision uint64

const (
	// numberBits is the size of the store's number: 10^12 changes, 87 years at 400 a second.
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	// maxEra keeps a revision within the range of Object.Version.
	maxEra = 1<<(63-numberBits) - 1
)

// NewRevision returns the revision of a number in an era. It fails if either is out of range.
func NewRevision(era, number uint64) (Revision, error) {
	if era > maxEra || number > maxNumber {
		return 0, errors.Errorf("revision %d of era %d is out of range", number, era)
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the store's era.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the store's own number of the change.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }
