package experts

// Stage is how far a switch to a new map has come.
type Stage int

// The stages, in order.
const (
	// StageIdle has no switch under way.
	StageIdle Stage = iota
	// StagePrepare waits until every rank has copied the experts of the new map.
	StagePrepare
	// StageHold waits until one rank keeps the pass of the switch from beginning.
	StageHold
	// StageArm waits until every rank has confirmed that it switches at that pass.
	StageArm
	// StageRelease waits until the pass may begin.
	StageRelease
	// StageSettle waits until every rank reports the new map.
	StageSettle
	// StageUndo takes back what an earlier holder armed, before a release.
	StageUndo
	// StageBurn prepares a version that is never used, so that an Arm of the former
	// holder that is carried out late finds its version no longer prepared.
	StageBurn
)

// String names the stage for logs.
func (s Stage) String() string {
	return [...]string{"idle", "prepare", "hold", "arm", "release", "settle", "undo", "burn"}[s]
}
