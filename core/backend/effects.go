package backend

import (
	"time"

	"arbutusdeck/core/execution"
	"arbutusdeck/core/memory"
	"arbutusdeck/core/scheduling"
)

// Effect is an action that Core asks its adapter to perform: StartRun, StopRun,
// CloseStream, Pause, Resume, SetPriority, RequestPart, ReleasePart, CancelOrphan
// or LeaseExpired.
type Effect interface{ effect() }

type (
	// StartRun calls the engine, or the plain service, for an attempt. From this
	// point the attempt counts as possibly executed.
	StartRun struct {
		Attempt  execution.AttemptID
		Engine   string
		Priority int
		// Group lists the engines, as server/engine, that jointly serve the
		// prompt; nil for a single engine.
		Group []string
	}
	// StopRun stops a running attempt; Core.Finish reports its outcome.
	StopRun struct{ Attempt execution.AttemptID }
	// CloseStream ends an attempt's response stream with its outcome.
	CloseStream struct {
		Attempt execution.AttemptID
		Outcome execution.Outcome
		Refusal execution.Refusal
	}
	// Pause suspends a stream and keeps its memory.
	Pause scheduling.Pause
	// Resume continues a paused stream.
	Resume scheduling.Resume
	// SetPriority changes a running stream's priority; lower values run first.
	SetPriority scheduling.SetPriority
	// RequestPart asks a member of a group to reserve its part;
	// Core.PartReplied handles the reply.
	RequestPart struct {
		Group       string
		Reservation string
		Part        memory.Part
		Expires     time.Time
	}
	// ReleasePart makes a member of a group release its part.
	ReleasePart struct {
		Reservation string
		Part        memory.Part
	}
	// CancelOrphan cancels a stream that no running daemon owns.
	CancelOrphan struct{ Stream memory.EngineStream }
	// LeaseExpired reports that memory was reclaimed because its owner stopped
	// renewing the lease.
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
