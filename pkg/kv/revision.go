package kv

// A service that comes back from a copy of its state gives revisions out again. Its epoch, which rises by one each time,
// tells the old from the new ones. A revision of this package has both: its high bits are the epoch, and its low bits the
// sequence number that the service gave out. So a revision names one state, and a later change always has a higher one.
const (
	// sequenceBits are enough for 400 changes a second over 80 years.
	sequenceBits = 40
	// epochBits are what is left of a positive number. Only the low bits of a longer epoch count.
	epochBits = 63 - sequenceBits
)

// RevisionAt returns the revision of a sequence number under an epoch; 0, which is no revision, if the sequence number is
// 0.
func RevisionAt(epoch, sequence int64) int64 {
	if sequence == 0 {
		return 0
	}
	return epochPart(epoch)<<sequenceBits | sequence
}

// EpochOf returns the epoch of a revision.
func EpochOf(revision int64) int64 { return revision >> sequenceBits }

// SequenceOf returns the sequence number of a revision under its epoch.
func SequenceOf(revision int64) int64 { return revision & (1<<sequenceBits - 1) }

// Precedes reports whether a revision is of an earlier epoch than the given one.
func Precedes(revision, epoch int64) bool { return EpochOf(revision) < epochPart(epoch) }

// InEpoch reports whether a revision is of an epoch.
func InEpoch(revision, epoch int64) bool { return EpochOf(revision) == epochPart(epoch) }

// epochPart returns the part of an epoch that a revision holds.
func epochPart(epoch int64) int64 { return epoch & (1<<epochBits - 1) }
