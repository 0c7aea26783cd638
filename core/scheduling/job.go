// Package scheduling decides, on one backend server, which waiting attempt
// starts next, on which engine and at which priority. Scheduler does no I/O: it
// returns commands and never calls an engine itself.
package scheduling

import (
	"time"

	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
)

// Job is one attempt to schedule. Lengths are in tokens.
type Job struct {
	Attempt   execution.AttemptID
	Workspace string
	// Weight is the workspace's share under contention.
	Weight float64
	Hall   string
	Class  string
	// Rank orders the length classes, 0 for the shortest.
	Rank         int
	Isolated     bool
	PromptTokens int64
	AnswerTokens int64
	// FirstTokenBy is the time at which the first token is due.
	FirstTokenBy time.Time
	// Engine pins the job to an engine, for a member of a group; empty lets the
	// scheduler choose.
	Engine string

	enqueued time.Time
	sequence uint64
}

// MemoryTokens returns the KV memory that the job occupies while it runs, in tokens.
func (j *Job) MemoryTokens() int64 { return j.PromptTokens + j.AnswerTokens }

// EngineSpec is the configuration of one engine.
type EngineSpec struct {
	Name         string
	Hall         string
	Slots        int
	MemoryTokens int64
	// PrefillRate is the expected prefill rate in tokens per second, used until
	// it is measured.
	PrefillRate float64
	// LongShare is the fraction of the slots that isolated jobs may hold while
	// shorter jobs are present.
	LongShare float64
}

// Policy selects the order of jobs.
type Policy string

const (
	// Isolating prevents long jobs from delaying shorter ones.
	Isolating Policy = "isolating"
	// FirstComeFirstServed is the baseline with one queue and one priority.
	FirstComeFirstServed Policy = "fcfs"
)

// Options configures a Scheduler.
type Options struct {
	Policy Policy
	// AgeBound bounds the time during which a queued job can be overtaken.
	AgeBound time.Duration
	// IsolatedAgeBound is the AgeBound of isolated classes.
	IsolatedAgeBound time.Duration
	// MinPrefillShare is the fraction of prefill time that a long job gets while
	// shorter prefills keep arriving.
	MinPrefillShare float64
	// BoostDuration is the time for which a long job keeps a raised priority.
	BoostDuration time.Duration
	// LongMemoryShare is the fraction of an engine's memory that isolated jobs
	// and group reservations may hold.
	LongMemoryShare float64
	// MaxPrefillBacklog bounds the prefill work of non-isolated jobs that is
	// dispatched to an engine in advance, as time at its measured rate.
	MaxPrefillBacklog time.Duration
}

// DefaultOptions returns the options used where the settings give none.
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

// Command is a request to an engine: Dispatch, Pause, Resume or SetPriority.
type Command interface{ command() }

type (
	// Dispatch starts the attempt on an engine. A lower priority number runs
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
	// Resume continues a paused stream.
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
