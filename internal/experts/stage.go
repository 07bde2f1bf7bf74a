package experts

// Stage is the stage of a map switch.
type Stage int

// Stages, in order.
const (
	// StageIdle means that no switch is in progress.
	StageIdle Stage = iota
	// StagePrepare waits until every rank has copied the experts of the new map.
	StagePrepare
	// StageHold waits until one rank holds the pass of the switch.
	StageHold
	// StageArm waits until every rank has confirmed the switch at that pass.
	StageArm
	// StageRelease waits until the hold is released.
	StageRelease
	// StageSettle waits until every rank reports the new map.
	StageSettle
	// StageUndo disarms what the former holder armed, before a release.
	StageDisarm
	// StageBurn prepares a version that is never used, so that a delayed Arm of the
	// former holder fails: its version is no longer the prepared one.
	StageInvalidate
)

// String returns the name used in logs.
func (s Stage) String() string {
	return [...]string{"idle", "prepare", "hold", "arm", "release", "settle", "undo", "burn"}[s]
}
