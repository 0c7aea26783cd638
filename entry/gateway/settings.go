// Package gateway serves requests that are forwarded by host name and path: it
// takes them from callers, chooses a backend server for each, sends it there over
// plain HTTP and passes the answer on. The decisions are in core (routes,
// directory, placement, execution, peering); this package carries them out.
package gateway

import (
	"time"

	"arbutusdeck/core/config"
	"arbutusdeck/core/peering"
)

// Settings tell the daemon who and where it is. They are YAML; on the users'
// platform they are filled in from a template.
type Settings struct {
	Name string `yaml:"name" validate:"required"`
	Zone string `yaml:"zone" validate:"required"`
	// ListenAddress is for callers, ReadyAddress for the balancer's questions,
	// PeerAddress for other entries (TCP and UDP), MetricsAddress for scrapers.
	ListenAddress  string `yaml:"listenAddress" validate:"required,hostname_port"`
	ReadyAddress   string `yaml:"readyAddress" validate:"required,hostname_port"`
	PeerAddress    string `yaml:"peerAddress" validate:"required,hostname_port"`
	MetricsAddress string `yaml:"metricsAddress" validate:"required,hostname_port"`
	// Store is the address of the platform's metadata store.
	Store string `yaml:"store" validate:"required,hostname_port"`
	// Seeds are peer addresses of a few entries. They may be stale.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
	// MemoryMB is the memory that the process may use, in MB.
	MemoryMB int64 `yaml:"memoryMB" validate:"gt=0"`
	// Processors is how many threads run Go code at once.
	Processors int `yaml:"processors" validate:"gte=1"`
	// ShutdownTimeout is the time from SIGTERM to SIGKILL.
	ShutdownTimeout config.Duration `yaml:"stopLimit" validate:"gt=0"`
	// RetryRatio, RetryExtra and RetryWindow bound the sends to a further
	// server, summed over all entries: in any window, RetryRatio times the
	// requests plus RetryExtra.
	RetryRatio  float64         `yaml:"retryRatio" validate:"gte=0"`
	RetryExtra  float64         `yaml:"retryExtra" validate:"gte=0"`
	RetryWindow config.Duration `yaml:"retryWindow" validate:"gt=0"`
	// ApplyLimit is how soon after its acceptance a configuration has to be in force,
	// DrainLimit how soon a server that leaves gets nothing more, EvacuateLimit how soon a zone gets
	// nothing more that is evacuated; 0 if zones are not.
	ApplyLimit    config.Duration `yaml:"applyLimit" validate:"gte=0"`
	DrainLimit    config.Duration `yaml:"drainLimit" validate:"gte=0"`
	EvacuateLimit config.Duration `yaml:"evacuateLimit" validate:"gte=0"`
	// LinkMbps is the rate of the host's link in Mbit/s: entries with faster ones read the
	// platform's store for the others of their zone. 0 if it is not known.
	LinkMbps float64 `yaml:"linkMbps" validate:"gte=0"`
	// ReservationIdle is how long memory may stay reserved without use.
	ReservationIdle config.Duration `yaml:"reservationIdle" validate:"gt=0"`
	// LogLevel is debug, info, warn or error; LogRate is in lines a second.
	LogLevel string  `yaml:"logLevel" validate:"omitempty,oneof=debug info warn error"`
	LogRate  float64 `yaml:"logRate" validate:"gte=0"`
}

// Defaults of settings.
const (
	// DefaultLogRate bounds the lines a second. A request writes two or three;
	// an entry of 0.3 of a core serves some 25 requests a second at the peak of
	// a usual day.
	DefaultLogRate = 200
	// DefaultLogBuffer is how many lines wait for a slow reader.
	DefaultLogBuffer = 1024
	// DefaultChangeLimit is the shortest limit of changes that the users' deployments have; every
	// entry reads the store then.
	DefaultChangeLimit = 2 * time.Second
)

func (s *Settings) applyDefaults() {
	if s.LogRate == 0 {
		s.LogRate = DefaultLogRate
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.ApplyLimit == 0 {
		s.ApplyLimit = config.Duration(DefaultChangeLimit)
	}
	if s.DrainLimit == 0 {
		s.DrainLimit = config.Duration(DefaultChangeLimit)
	}
}

// readOptions say how this entry takes part in reading the store: any change there has to
// be in force within the shortest of the limits.
func (s *Settings) readOptions() peering.ReadOptions {
	limit := min(s.ApplyLimit.D(), s.DrainLimit.D())
	if s.EvacuateLimit > 0 {
		limit = min(limit, s.EvacuateLimit.D())
	}
	return peering.ReadOptions{Capacity: int(s.LinkMbps), Limit: limit}
}

// Bounds on the daemon's connections and waits.
const (
	// dialTimeout bounds the opening of a connection to a backend server. The
	// way there and back is a few milliseconds; a server that is silent is
	// passed over, and nothing was sent.
	dialTimeout = 250 * time.Millisecond
	// storeTimeout bounds a call to the store, and a watch beyond its wait. The
	// store answers in milliseconds, and in up to some 250 ms while it is slow.
	storeTimeout = time.Second
	// watchWait is how long one watch waits. Each call is counted, but a watch
	// that the store has dropped without a word is found only when the wait is
	// over, and a configuration has to be in force two seconds after it was
	// acknowledged by a store that has been sound for three.
	watchWait = 2 * time.Second
	// storeRetryMin and storeRetryMax bound the pause after a failed call.
	storeRetryMin = 100 * time.Millisecond
	storeRetryMax = time.Second
	// readerPoll is how often an entry that doesn't read the store looks whether it has to:
	// well below the time in which a change has to be in force.
	readerPoll = 100 * time.Millisecond
	// startPoll is how often a starting entry looks whether another one is up to date, or it has
	// to read the store itself.
	startPoll = 5 * time.Millisecond
	// storeFailureMemory is for how long a failed call speaks against reading the store for others.
	storeFailureMemory = 3 * time.Second
	// shutdownLinger is how long new requests are taken after SIGTERM. The
	// balancer asks once a second and stops sending after two misses.
	shutdownLinger = 2800 * time.Millisecond
	// shutdownMargin is kept free of StopLimit for final answers and the exit, and because a busy host sees
	// SIGTERM late: SIGKILL comes by the platform's clock.
	shutdownMargin = 700 * time.Millisecond
	// deadlineSlack is how long past the caller's own time an answer that is
	// about to come is waited for.
	deadlineSlack = 100 * time.Millisecond
	// timeoutSlack is the same for the route's timeout.
	timeoutSlack = 40 * time.Millisecond
	// tickInterval is how often the book, the directory and pauses are looked
	// at.
	tickInterval = 250 * time.Millisecond
	// pauseLimit is the gap between ticks that counts as a pause.
	pauseLimit = 1500 * time.Millisecond
	// headerTimeout bounds how slowly a caller may send its headers, as long as
	// no configuration says otherwise.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a caller's headers.
	maxHeaderBytes = 64 << 10
	// defaultBodyBytes bounds a body until a configuration says otherwise.
	defaultBodyBytes = 4 << 20
	// maxBufferedResponse is how much of a plain answer is held until it is whole,
	// so that a broken one can be replaced by another try.
	maxBufferedResponse = 256 << 10
)
