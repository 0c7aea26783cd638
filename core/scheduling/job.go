// Package scheduling decides, on one backend server, which waiting attempt
// starts next, on which engine and at which priority. Scheduler is a pure core:
// it returns commands and never calls an engine itself.
package scheduling

import (
	"time"

	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
)

// Job is one attempt as the scheduler sees it. Lengths are in tokens.
type Job struct {
	Attempt   execution.AttemptID
	Workspace string
	// Weight is the workspace's share under contention.
	Weight float64
	Hall   string
	Class  string
	// Rank is the place of the length class, 0 for the shortest.
	Rank         int
	Isolated     bool
	PromptTokens int64
	AnswerTokens int64
	// FirstTokenBy is when the first token is due by its target.
	FirstTokenBy time.Time
	// Engine fixes the engine, for a member of a group; empty lets the
	// scheduler choose.
	Engine string

	enqueued time.Time
	sequence uint64
}

// MemoryTokens is the KV memory that the job occupies while it runs.
func (j *Job) MemoryTokens() int64 { return j.PromptTokens + j.AnswerTokens }

// EngineSpec is one engine as configured.
type EngineSpec struct {
	Name         string
	Hall         string
	Slots        int
	MemoryTokens int64
	// PrefillRate is the expected speed in tokens a second until measured.
	PrefillRate float64
	// LongShare is the part of the slots that isolated jobs may hold while
	// shorter work is present.
	LongShare float64
}

// Policy selects how jobs are ordered.
type Policy string

const (
	// Isolating keeps long jobs from delaying shorter ones.
	Isolating Policy = "isolating"
	// FirstComeFirstServed is the baseline: one queue, one priority.
	FirstComeFirstServed Policy = "fcfs"
)

// Options are the bounds of a Scheduler.
type Options struct {
	Policy Policy
	// AgeBound is the longest time that a job is overtaken in the queue.
	AgeBound time.Duration
	// IsolatedAgeBound is the same for jobs of isolated classes.
	IsolatedAgeBound time.Duration
	// MinPrefillShare is the part of prefill time that a long job gets while
	// shorter prefills keep arriving.
	MinPrefillShare float64
	// BoostDuration is how long a long job keeps the raised priority.
	BoostDuration time.Duration
	// LongMemoryShare is the part of an engine's memory that isolated jobs and
	// group reservations may hold.
	LongMemoryShare float64
	// MaxPrefillBacklog bounds the prefill work of non-isolated jobs handed to an engine
	// ahead of time, in seconds of its speed.
	MaxPrefillBacklog time.Duration
}

// DefaultOptions returns the options used when the settings name none.
func DefaultOptions() Options {
	return Options{
		Policy:            Isolating,
		AgeBound:          5 * time.Second,
		IsolatedAgeBound:  2 * time.Minute,
		MinPrefillShare:   0.1,
		BoostDuration:     50 * time.Millisecond,
		LongMemoryShare:   config.LongMemoryShare,
		MaxPrefillBacklog: 150 * time.Millisecond,
	}
}

// Command is something to ask of an engine: Dispatch, Pause, Resume or
// SetPriority.
type Command interface{ command() }

type (
	// Dispatch starts the attempt on an engine. A lower priority number goes
	// first.
	Dispatch struct {
		Attempt  execution.AttemptID
		Engine   string
		Priority int
	}
	// Pause stops a stream and keeps its memory, so that it can resume.
	Pause struct {
		Attempt execution.AttemptID
		Engine  string
	}
	// Resume lets a paused stream go on.
	Resume struct {
		Attempt execution.AttemptID
		Engine  string
	}
	// SetPriority changes the priority of a running stream.
	SetPriority struct {
		Attempt  execution.AttemptID
		Engine   string
		Priority int
	}
)

func (Dispatch) command()    {}
func (Pause) command()       {}
func (Resume) command()      {}
func (SetPriority) command() {}
