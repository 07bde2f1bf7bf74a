package storelog

import "fmt"

// Position is a place in a partition of the store: the era, then the offset. Positions are
// ordered as numbers, so that whatever is drawn from them never falls when the store comes
// back from an older copy. Of a store that names no era, they are its offsets.
type Position int64

// Unknown is the position before all others.
const Unknown = Position(-1)

// offsetBits are a position's lower bits.
const offsetBits = 40

// NewPosition returns the position of an offset; -1 is the offset before the first.
func NewPosition(era, offset int64) Position { return Position(era<<offsetBits + offset) }

// Era returns the era of the store that the position belongs to.
func (p Position) Era() int64 { return int64(p+1) >> offsetBits }

// Offset returns the offset within the era.
func (p Position) Offset() int64 { return int64(p) - p.Era()<<offsetBits }

// HasRecord tells whether there is a record at the position: not before the first.
func (p Position) HasRecord() bool { return p.Offset() >= 0 }

// String returns the position as ERA/OFFSET, or the offset of a store that names no era.
func (p Position) String() string {
	if p.Era() == NoEra {
		return fmt.Sprint(p.Offset())
	}
	return fmt.Sprintf("%d/%d", p.Era(), p.Offset())
}
