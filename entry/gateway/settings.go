// Package gateway implements the entry daemon that forwards requests by host name and path. It
// accepts requests from callers, chooses a backend server for each, forwards it over plain HTTP and
// relays the response. The decisions are made in core (routes, directory, placement, execution,
// peering); this package carries them out.
package gateway

import (
	"time"

	"arbutusdeck/core/config"
	"arbutusdeck/core/peering"
)

// Settings identify the daemon and its environment. They are read from YAML; the deployment
// platform fills them in from a template.
type Settings struct {
	Name string `yaml:"name" validate:"required"`
	Zone string `yaml:"zone" validate:"required"`
	// ListenAddress serves callers, ReadyAddress the load balancer's health checks, PeerAddress
	// other entries (TCP and UDP) and MetricsAddress scrapers.
	ListenAddress  string `yaml:"listenAddress" validate:"required,hostname_port"`
	ReadyAddress   string `yaml:"readyAddress" validate:"required,hostname_port"`
	PeerAddress    string `yaml:"peerAddress" validate:"required,hostname_port"`
	MetricsAddress string `yaml:"metricsAddress" validate:"required,hostname_port"`
	// Store is the address of the platform's metadata store.
	Store string `yaml:"store" validate:"required,hostname_port"`
	// Seeds are the peer addresses of a few entries. Some may be stale.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
	// MemoryMB bounds the memory of the process, in MB.
	MemoryMB int64 `yaml:"memoryMB" validate:"gt=0"`
	// MaxDescriptors bounds the descriptors that the process opens, of which 200 are not for sockets; 0 for the limit of
	// the operating system (RLIMIT_NOFILE), which also bounds a larger value.
	MaxDescriptors int `yaml:"maxDescriptors" validate:"gte=0"`
	// Processors bounds the threads that run Go code at once (GOMAXPROCS).
	Processors int `yaml:"processors" validate:"gte=1"`
	// StopLimit is the time from SIGTERM to SIGKILL.
	StopLimit config.Duration `yaml:"stopLimit" validate:"gt=0"`
	// RetryRatio, RetryExtra and RetryWindow bound the retries at further servers, summed over all
	// entries: in any window, RetryRatio times the requests plus RetryExtra.
	RetryRatio  float64         `yaml:"retryRatio" validate:"gte=0"`
	RetryExtra  float64         `yaml:"retryExtra" validate:"gte=0"`
	RetryWindow config.Duration `yaml:"retryWindow" validate:"gt=0"`
	// ApplyLimit bounds the time from the acceptance of a configuration until it applies,
	// DrainLimit the time until a draining server gets no new request, EvacuateLimit the time until
	// an evacuated zone gets no new request; 0 if zones are never evacuated.
	ApplyLimit    config.Duration `yaml:"applyLimit" validate:"gte=0"`
	DrainLimit    config.Duration `yaml:"drainLimit" validate:"gte=0"`
	EvacuateLimit config.Duration `yaml:"evacuateLimit" validate:"gte=0"`
	// LinkMbps is the rate of the host's network link in Mbit/s. Entries with faster links read the
	// platform's store for the others of their zone. 0 means unknown.
	LinkMbps float64 `yaml:"linkMbps" validate:"gte=0"`
	// ReservationIdle bounds how long memory may stay reserved without use.
	ReservationIdle config.Duration `yaml:"reservationIdle" validate:"gt=0"`
	// Overload switches on the decisions under load that exceeds the capacity.
	Overload Overload `yaml:"overload"`
	// LogLevel is debug, info, warn or error; LogRate is in lines per second.
	LogLevel string  `yaml:"logLevel" validate:"omitempty,oneof=debug info warn error"`
	LogRate  float64 `yaml:"logRate" validate:"gte=0"`
}

// Overload selects the decisions for load that exceeds the capacity of the servers. Each is off if absent, and the
// entry then chooses as without it.
type Overload struct {
	// Queueing makes requests wait at the entry while all slots are taken.
	Queueing bool `yaml:"queueing"`
	// Spillover sends what the own zone can't serve in time to the zones that have room for it.
	Spillover bool `yaml:"spillover"`
	// FairShares divides scarce capacity among workspaces by weight.
	FairShares bool `yaml:"fairShares"`
	// Claims keeps memory that becomes free for the prompts that wait for it.
	Claims bool `yaml:"claims"`
	// LearnedTimes predicts first events from what each server has shown.
	LearnedTimes bool `yaml:"learnedTimes"`
}

// Defaults of the settings.
const (
	// DefaultLogRate bounds the log lines per second. A request writes two or three; an entry with
	// 0.3 of a core serves some 25 requests per second at the daily peak.
	DefaultLogRate = 200
	// DefaultLogBuffer bounds the lines that wait for a slow log reader.
	DefaultLogBuffer = 1024
	// DefaultChangeLimit is the shortest limit of changes in the supported deployments. With it
	// every entry reads the store itself.
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

// readOptions returns how this entry takes part in reading the store. Every change there has to
// apply within the shortest of the limits.
func (s *Settings) readOptions() peering.ReadOptions {
	limit := min(s.ApplyLimit.D(), s.DrainLimit.D())
	if s.EvacuateLimit > 0 {
		limit = min(limit, s.EvacuateLimit.D())
	}
	return peering.ReadOptions{Capacity: int(s.LinkMbps), Limit: limit}
}

// Timeouts and limits of the daemon.
const (
	// dialTimeout bounds connecting to a backend server. A round trip takes a few milliseconds; an
	// unresponsive server is skipped, and nothing has been sent.
	dialTimeout = 250 * time.Millisecond
	// storeTimeout bounds a call to the store other than a watch. The store responds in
	// milliseconds, and in up to some 250 ms while it is slow; a large list takes longer.
	storeTimeout = time.Second
	// shutdownLinger is the time for which new requests are accepted after SIGTERM. The load
	// balancer probes once a second and stops routing after two failures.
	shutdownLinger = 2800 * time.Millisecond
	// shutdownMargin is subtracted from ShutdownTimeout for final responses and the exit, and
	// because a busy host delivers SIGTERM late while SIGKILL follows the platform's clock.
	shutdownMargin = 700 * time.Millisecond
	// deadlineSlack is added to the caller's deadline, for a response that is about to arrive.
	deadlineSlack = 100 * time.Millisecond
	// timeoutSlack is the same for the route's timeout.
	timeoutSlack = 40 * time.Millisecond
	// tickInterval is the period of the housekeeping loop (load table, directory, pause detection).
	tickInterval = 250 * time.Millisecond
	// pauseLimit is the gap between ticks that counts as a pause of the process.
	pauseLimit = 1500 * time.Millisecond
	// defaultHeaderTimeout bounds the time to receive the headers of a request, defaultHeaderBytes their size, and
	// defaultIdleTimeout the time without a request, while no configuration does.
	defaultHeaderTimeout = 10 * time.Second
	defaultHeaderBytes   = 64 << 10
	defaultIdleTimeout   = time.Minute
	// headerTimeoutSlack is added to the configuration's limit for a segment that is sent again.
	headerTimeoutSlack = time.Second
	// requestLineBytes is added to the configuration's limit of the headers for the request line.
	requestLineBytes = 4 << 10
	// defaultBodyBytes bounds a request body while no configuration does.
	defaultBodyBytes = 4 << 20
	// maxBufferedResponse bounds a non-streaming response that is buffered until it is complete, so
	// that a broken one can be replaced by another attempt.
	maxBufferedResponse = 256 << 10
)
