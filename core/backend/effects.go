package backend

import (
	"time"

	"arbutusdeck/core/execution"
	"arbutusdeck/core/memory"
	"arbutusdeck/core/scheduling"
)

// Effect is something that the adapter has to do. The Effect types are Start,
// StopRun, Ended, Pause, Resume, SetPriority, AskPart, GiveBackPart and
// CancelOrphan.
type Effect interface{ effect() }

type (
	// StartRun calls the engine, or the plain service, for an attempt. From here
	// on it may have run.
	StartRun struct {
		Attempt  execution.AttemptID
		Engine   string
		Priority int
		// Group lists the engines, as server/engine, that serve the prompt
		// together; nil for one engine.
		Group []string
	}
	// StopRun ends a run that is under way; Finish reports its outcome.
	StopRun struct{ Attempt execution.AttemptID }
	// CloseStream closes an attempt's answer.
	CloseStream struct {
		Attempt execution.AttemptID
		Outcome execution.Outcome
		Refusal execution.Refusal
	}
	// Pause stops a stream and keeps its memory.
	Pause scheduling.Pause
	// Resume lets a paused stream go on.
	Resume scheduling.Resume
	// SetPriority changes a running stream's priority; lower goes first.
	SetPriority scheduling.SetPriority
	// RequestPart asks a member of a group for its part; Part answers.
	RequestPart struct {
		Group       string
		Reservation string
		Part        memory.Part
		Expires     time.Time
	}
	// ReleasePart releases a member's part.
	ReleasePart struct {
		Reservation string
		Part        memory.Part
	}
	// CancelOrphan ends a stream that no living daemon owns.
	CancelOrphan struct{ Stream memory.EngineStream }
	// LeaseExpired tells that memory was taken back from a vanished owner.
	LeaseExpired struct{ Lease memory.Lease }
)

func (StartRun) effect()     {}
func (StopRun) effect()      {}
func (CloseStream) effect()  {}
func (Pause) effect()        {}
func (Resume) effect()       {}
func (SetPriority) effect()  {}
func (RequestPart) effect()  {}
func (ReleasePart) effect()  {}
func (CancelOrphan) effect() {}
func (LeaseExpired) effect() {}
