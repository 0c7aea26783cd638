package commands

import (
	"github.com/urfave/cli/v3"

	"arbutusdeck/core/process"
)

// settingFlag is a setting that a flag or environment variable can override.
type settingFlag struct {
	name, env, usage string
	field            func(*process.Settings) *string
}

var settingFlags = []settingFlag{
	{"name", "ARBUTUS_NAME", "the daemon's name", func(s *process.Settings) *string { return &s.Name }},
	{"zone", "ARBUTUS_ZONE", "the availability zone", func(s *process.Settings) *string { return &s.Zone }},
	{"peer-address", "ARBUTUS_PEER_ADDRESS", "IP and port for other daemons", func(s *process.Settings) *string { return &s.PeerAddress }},
	{"admin-address", "ARBUTUS_ADMIN_ADDRESS", "IP and port of the administration API", func(s *process.Settings) *string { return &s.AdminAddress }},
	{"admin-token", "ARBUTUS_ADMIN_TOKEN", "credential of the administration API", func(s *process.Settings) *string { return &s.AdminToken }},
	{"platform", "ARBUTUS_PLATFORM", "URL of the platform", func(s *process.Settings) *string { return &s.Platform }},
	{"secret", "ARBUTUS_SECRET", "secret shared by the daemons", func(s *process.Settings) *string { return &s.Secret }},
	{"log-level", "ARBUTUS_LOG_LEVEL", "debug, info, warn or error", func(s *process.Settings) *string { return &s.LogLevel }},
}

// numberFlag is a number among the settings that a flag or environment variable can override.
type numberFlag struct {
	name, env, usage string
	field            func(*process.Settings) *int
}

var numberFlags = []numberFlag{
	{"memory-mb", "ARBUTUS_MEMORY_MB", "memory of the process, in MB", func(s *process.Settings) *int { return &s.MemoryMB }},
	{"max-descriptors", "ARBUTUS_MAX_DESCRIPTORS", "descriptors that the process may open", func(s *process.Settings) *int { return &s.MaxDescriptors }},
}

// SettingsFlags returns the flags of the command serve. A flag overrides the
// environment, and the environment overrides the settings file.
func SettingsFlags(into *process.Settings) []cli.Flag {
	flags := []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "the daemon's settings `FILE` (YAML)", Sources: cli.EnvVars("ARBUTUS_SETTINGS")}}
	for _, flag := range settingFlags {
		flags = append(flags, &cli.StringFlag{Name: flag.name, Usage: flag.usage, Sources: cli.EnvVars(flag.env), Destination: flag.field(into)})
	}
	for _, flag := range numberFlags {
		flags = append(flags, &cli.IntFlag{Name: flag.name, Usage: flag.usage, Sources: cli.EnvVars(flag.env), Destination: flag.field(into)})
	}
	return flags
}

// ApplyFlags overrides settings of the file with the flags and environment variables
// that are set, whose values are in given.
func ApplyFlags(c *cli.Command, settings *process.Settings, given process.Settings) {
	for _, flag := range settingFlags {
		if c.IsSet(flag.name) {
			*flag.field(settings) = *flag.field(&given)
		}
	}
	for _, flag := range numberFlags {
		if c.IsSet(flag.name) {
			*flag.field(settings) = *flag.field(&given)
		}
	}
}
