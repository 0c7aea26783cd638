// Package config merges and validates the operators' configuration, a folder of
// YAML files, into a Snapshot, keeps the current snapshot of a daemon and decides
// when to fetch a newer one from the platform or from peers.
package config

import "time"

// Snapshot is a complete, validated configuration at one revision.
type Snapshot struct {
	// Revision is the revision number that the platform gave the folder; higher
	// is newer.
	Revision uint64 `yaml:"-"`
	// Digest is the xxhash of all file names and contents.
	Digest uint64 `yaml:"-"`

	LengthClasses map[string]LengthClass `yaml:"lengthClasses" validate:"required,min=1,dive"`
	Kinds         map[string]Kind        `yaml:"kinds" validate:"dive"`
	Halls         map[string]Hall        `yaml:"halls" validate:"dive"`
	Servers       map[string]Server      `yaml:"servers" validate:"required,min=1,dive"`
	Groups        map[string]Group       `yaml:"groups" validate:"dive"`
	Services      map[string]Service     `yaml:"services" validate:"dive"`
	Workspaces    map[string]Workspace   `yaml:"workspaces" validate:"dive"`
	Entries       map[string]Entry       `yaml:"entries" validate:"dive"`

	classNames []string // length classes, shortest first
	provenance Provenance
}

// LengthClass is a range of prompt lengths in tokens. It starts above the UpTo of
// the next shorter class.
type LengthClass struct {
	// UpTo is the upper bound of the class in tokens, inclusive.
	UpTo int64 `yaml:"upTo" validate:"required,gt=0"`
	// FirstToken is the target for the time to first token.
	FirstToken Duration `yaml:"firstToken" validate:"required,gt=0"`
	// Isolated marks a class of long prompts, which can use only the hall's
	// longShare of each engine while shorter prompts wait.
	Isolated bool `yaml:"isolated"`
}

// Kind is a request kind defined by the operators.
type Kind struct {
	Hall string `yaml:"hall" validate:"required"`
	// Repeatable allows a request of this kind to run more than once.
	Repeatable bool `yaml:"repeatable"`
	// Deadline bounds a request unless the caller sets a shorter one.
	Deadline Duration `yaml:"deadline" validate:"required,gt=0"`
	// MaxAnswerTokens bounds the answer's length in tokens.
	MaxAnswerTokens int64 `yaml:"maxAnswerTokens" validate:"gte=0"`
	// FirstToken overrides the length class's target unless zero.
	FirstToken Duration `yaml:"firstToken" validate:"gte=0"`
}

// Hall is a named pool of engines that serve one model.
type Hall struct {
	Model   string `yaml:"model" validate:"required"`
	Version string `yaml:"version"`
	// Adapters are loaded in addition to the model, in this order.
	Adapters []string `yaml:"adapters"`
	// LongShare is the fraction of each engine's running slots that isolated
	// classes can use while shorter prompts are present; 0 means
	// DefaultLongShare.
	LongShare float64 `yaml:"longShare" validate:"gte=0,lte=1"`
}

// Server is a backend server with its host daemon.
type Server struct {
	// Address is the host daemon's IP and port.
	Address string `yaml:"address" validate:"required,hostname_port"`
	Zone    string `yaml:"zone" validate:"required"`
	Region  string `yaml:"region"`
	// Engines by name; empty for a server that runs plain services only.
	Engines map[string]Engine `yaml:"engines" validate:"dive"`
}

// Engine is a model engine of a backend server.
type Engine struct {
	Hall string `yaml:"hall" validate:"required"`
	// MemoryTokens is the size of the KV cache in tokens.
	MemoryTokens int64 `yaml:"memoryTokens" validate:"required,gt=0"`
	// PrefillRate is the expected prefill rate in tokens per second, used until
	// a rate has been measured.
	PrefillRate float64 `yaml:"prefillRate" validate:"required,gt=0"`
	// Slots is the number of requests that the engine runs concurrently.
	Slots int `yaml:"slots" validate:"required,gt=0"`
	// Role is the phase that the engine serves: both, prefill or decode.
	Role string `yaml:"role" validate:"omitempty,oneof=both prefill decode"`
	// ChecksFencing is set if the engine rejects orders with a stale fencing
	// token.
	ChecksFencing bool `yaml:"checksFencing"`
}

// Group combines engines for prompts that are too large for a single one.
type Group struct {
	Hall string `yaml:"hall" validate:"required"`
	// Lead is the server whose host daemon serializes the group's reservations.
	Lead string `yaml:"lead" validate:"required"`
	// Members are the engines, as server/engine.
	Members []string `yaml:"members" validate:"required,min=2"`
}

// Service is a plain service that runs on backend servers besides the engines.
type Service struct {
	Servers    []string `yaml:"servers" validate:"required,min=1"`
	Repeatable bool     `yaml:"repeatable"`
	Deadline   Duration `yaml:"deadline" validate:"required,gt=0"`
	// Concurrency is the number of calls that one server runs concurrently.
	Concurrency int `yaml:"concurrency" validate:"required,gt=0"`
	// ChecksFencing is set if the service rejects calls with a stale fencing
	// token.
	ChecksFencing bool `yaml:"checksFencing"`
	// Homes assign caller-made idempotency keys to servers by slot. A slot's
	// name must not change once used, since keys are hashed over the names. If
	// empty, only issued keys are accepted.
	Homes map[string]HomeSlot `yaml:"homes" validate:"dive"`
}

// HomeSlot is a fixed partition of a service's key space.
type HomeSlot struct {
	// Server is the current holder.
	Server string `yaml:"server" validate:"required"`
	// Former are the previous holders.
	Former []string `yaml:"former"`
	// Retired are those of Former that the operators have permanently shut
	// down.
	Retired []string `yaml:"retired"`
}

// Workspace is a customer team with its credentials and limits.
type Workspace struct {
	// KeyHashes are the SHA-256 sums of the accepted API keys, in lowercase
	// hexadecimal.
	KeyHashes []string `yaml:"keyHashes" validate:"required,min=1,dive,len=64,hexadecimal,lowercase"`
	// Weight is the share of capacity under contention, relative to other
	// workspaces.
	Weight float64 `yaml:"weight" validate:"gte=0"`
	// RequestsPerSecond is the quota across all entries; 0 means unlimited.
	RequestsPerSecond float64 `yaml:"requestsPerSecond" validate:"gte=0"`
	// TokensPerSecond is the quota of prompt tokens across all entries; 0 means
	// unlimited.
	TokensPerSecond float64 `yaml:"tokensPerSecond" validate:"gte=0"`
	// Concurrency is the maximum number of open requests at one host; 0 means
	// unlimited.
	Concurrency int `yaml:"concurrency" validate:"gte=0"`
	// Kinds and Services are those that the workspace can use; empty means all.
	Kinds    []string `yaml:"kinds"`
	Services []string `yaml:"services"`
	// FirstToken overrides the targets for the time to first token by length
	// class.
	FirstToken map[string]Duration `yaml:"firstToken" validate:"dive,gt=0"`
}

// Entry is an entry daemon, listed so that other daemons can fetch snapshots from
// it.
type Entry struct {
	// PeerAddress is the IP and port for connections of other daemons.
	PeerAddress string `yaml:"peerAddress" validate:"required,hostname_port"`
	Zone        string `yaml:"zone" validate:"required"`
}

// Defaults of omitted fields, and fixed limits.
const (
	DefaultLongShare       = 0.5
	DefaultWeight          = 1.0
	DefaultMaxAnswerTokens = 4096
	RoleBoth               = "both"
	// LongMemoryShare is the fraction of an engine's memory that isolated
	// classes and group reservations can use. The rest is kept for shorter
	// prompts.
	LongMemoryShare = 0.75
)

// Duration is a time.Duration that is written with a unit in YAML, as in 300ms.
type Duration time.Duration

// D converts to a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.D().String()), nil }

// applyDefaults sets the defaults of omitted fields.
func (s *Snapshot) applyDefaults() {
	for name, kind := range s.Kinds {
		if kind.MaxAnswerTokens == 0 {
			kind.MaxAnswerTokens = DefaultMaxAnswerTokens
		}
		s.Kinds[name] = kind
	}
	for name, hall := range s.Halls {
		if hall.LongShare == 0 {
			hall.LongShare = DefaultLongShare
		}
		s.Halls[name] = hall
	}
	for name, workspace := range s.Workspaces {
		if workspace.Weight == 0 {
			workspace.Weight = DefaultWeight
		}
		s.Workspaces[name] = workspace
	}
	for _, server := range s.Servers {
		for name, engine := range server.Engines {
			if engine.Role == "" {
				engine.Role = RoleBoth
			}
			server.Engines[name] = engine
		}
	}
}
