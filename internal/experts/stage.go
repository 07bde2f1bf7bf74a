package experts

// Stage is the stage of a map switch.
type Stage int

// A switch goes through the stages from StagePrepare to StageSettle. StageDisarm and
// StageInvalidate undo a switch of a former holder whose rank is unreachable.
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
	// StageDisarm disarms what the former holder armed. It is logged as "undo".
	StageDisarm
	// StageInvalidate prepares a version that is never used, so that a delayed Arm
	// of the former holder fails: its version is no longer the prepared one.
	// StageRelease follows. It is logged as "burn".
	StageInvalidate
)

// String returns the name used in logs.
func (s Stage) String() string {
	return [...]string{"idle", "prepare", "hold", "arm", "release", "settle", "undo", "burn"}[s]
}
