package storelog

import "fmt"

// Position identifies a record in a partition of the store: the era in the high bits and the offset
// in the low bits. Positions compare as integers, so values derived from them never decrease when
// the store is restored from an older copy. Without eras a position equals its offset.
type Position int64

// Unknown precedes all other positions.
const Unknown = Position(-1)

// offsetBits is the number of low bits that hold the offset.
const offsetBits = 40

// NewPosition returns the position of an offset in an era. Offset -1 precedes the first record.
func NewPosition(era, offset int64) Position { return Position(era<<offsetBits + offset) }

// Era returns the era of the position.
func (p Position) Era() int64 { return int64(p+1) >> offsetBits }

// Offset returns the offset within the era.
func (p Position) Offset() int64 { return int64(p) - p.Era()<<offsetBits }

// HasRecord reports whether a record can be at the position, that is, the offset isn't negative.
func (p Position) HasRecord() bool { return p.Offset() >= 0 }

// String formats the position as ERA/OFFSET, or as OFFSET without an era.
func (p Position) String() string {
	if p.Era() == NoEra {
		return fmt.Sprint(p.Offset())
	}
	return fmt.Sprintf("%d/%d", p.Era(), p.Offset())
}
