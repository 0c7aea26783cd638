// Package process holds the process-level parts common to host daemons and entries:
// settings, logging, listeners, startup and shutdown, and the loop that keeps the
// configuration current.
package process

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"arbutusdeck/core/config"
)

// ErrSettings is wrapped by all errors in a daemon's settings.
var ErrSettings = errors.New("invalid settings")

// Settings are the settings common to host daemons and entries: the identity and
// addresses of one process. The fleet is described by the configuration folder.
type Settings struct {
	// Name is the daemon's name: for a host daemon the server's name in the
	// configuration, for an entry its name among the entries.
	Name string `yaml:"name" validate:"required"`
	// Zone is the availability zone.
	Zone string `yaml:"zone" validate:"required"`
	// AdminAddress is the IP and port of the administration API.
	AdminAddress string `yaml:"adminAddress" validate:"required,hostname_port"`
	// AdminToken is the bearer token of the administration API.
	AdminToken string `yaml:"adminToken" validate:"required,min=16"`
	// Platform is the platform's base URL.
	Platform string `yaml:"platform" validate:"required,url"`
	// PeerAddress is the IP and port for connections of other daemons.
	PeerAddress string `yaml:"peerAddress" validate:"required,hostname_port"`
	// Secret is shared by all daemons. It authenticates them to each other and
	// signs issued keys.
	Secret string `yaml:"secret" validate:"required,min=16"`
	// Peers are daemons to ask for the configuration at startup.
	Peers []SeedPeer `yaml:"peers" validate:"dive"`
	// StopLimit bounds a graceful shutdown; 0 means DefaultStopLimit.
	StopLimit config.Duration `yaml:"stopLimit" validate:"gte=0"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"logLevel" validate:"omitempty,oneof=debug info warn error"`
	// MemoryMB bounds the memory of the process, in MB; 0 selects the daemon's default.
	MemoryMB int `yaml:"memoryMB" validate:"gte=0"`
	// MaxDescriptors bounds the descriptors that the process opens; see Resources.
	MaxDescriptors int `yaml:"maxDescriptors" validate:"gte=0"`
}

// Resources returns what the process may take of its machine. defaultMemoryMB stands for a MemoryMB of 0.
func (s Settings) Resources(defaultMemoryMB int) Resources {
	return Resources{MemoryMB: int64(cmp.Or(s.MemoryMB, defaultMemoryMB)), MaxDescriptors: s.MaxDescriptors}
}

// SeedPeer is a peer from the settings, used before a configuration is known.
type SeedPeer struct {
	Name    string `yaml:"name" validate:"required"`
	Address string `yaml:"address" validate:"required,hostname_port"`
}

// DefaultStopLimit is the default time for which a graceful shutdown waits for open
// requests.
const DefaultStopLimit = 15 * time.Minute

// StopLimitOrDefault returns StopLimit, or DefaultStopLimit if it is 0.
func (s Settings) StopLimitOrDefault() time.Duration {
	if s.StopLimit == 0 {
		return DefaultStopLimit
	}
	return s.StopLimit.D()
}

// LoadSettings reads a settings file into target, calls override to apply flags and
// environment, and validates the result. Unknown keys are errors. Errors wrap
// ErrSettings and contain the file and the line or field.
func LoadSettings(path string, target any, override func()) error {
	if path != "" {
		if err := decodeSettings(path, target); err != nil {
			return err
		}
	}
	override()
	err := validator.New(validator.WithRequiredStructEnabled()).Struct(target)
	var failures validator.ValidationErrors
	if errors.As(err, &failures) {
		first := failures[0]
		return fmt.Errorf("%w: %s: %s is %q, which violates the rule %q", ErrSettings, path, first.Namespace(), fmt.Sprint(first.Value()), first.Tag()+" "+first.Param())
	}
	if err != nil {
		return fmt.Errorf("%w: %v", ErrSettings, err)
	}
	return nil
}

func decodeSettings(path string, target any) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrSettings, err)
	}
	defer file.Close()
	err = yaml.NewDecoder(file, yaml.Strict()).Decode(target)
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %s: %v", ErrSettings, path, err)
	}
	return nil
}
