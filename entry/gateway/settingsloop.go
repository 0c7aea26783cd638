package gateway

import (
	"bytes"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/execution"
	"arbutusdeck/core/process"
)

// settingsPoll is the interval at which the settings file is checked; it may change without a
// signal.
const settingsPoll = 2 * time.Second

// settingsLoop applies changed settings. A file that can't be read or is invalid leaves the current
// settings in use.
func (s *Server) settingsLoop() error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	if s.options.SettingsPath == "" {
		<-s.tomb.Dying()
		return nil
	}
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	// The file may have changed since the daemon read its settings, so that nothing is known of it
	// yet.
	var last []byte
	for {
		select {
		case <-signals:
		case <-ticker.C:
		case <-s.tomb.Dying():
			return nil
		}
		content, err := os.ReadFile(s.options.SettingsPath)
		if err != nil {
			s.log.WithError(err).Warn("reading the settings file failed; the current settings stay in use")
			continue
		}
		if bytes.Equal(content, last) {
			continue
		}
		last = content
		s.reload()
	}
}

// reload applies the settings that may change while the daemon runs.
func (s *Server) reload() {
	var settings Settings
	if err := process.LoadSettings(s.options.SettingsPath, &settings, func() {}); err != nil {
		s.log.WithError(err).Error("changed settings are invalid; the current settings stay in use")
		return
	}
	settings.applyDefaults()
	if reflect.DeepEqual(settings, s.loadedSettings) {
		return
	}
	s.loadedSettings = settings
	s.applyRuntime(settings)
	if level, err := logrus.ParseLevel(settings.LogLevel); err == nil {
		s.log.Logger.SetLevel(level)
	}
	s.mu.Lock()
	// Addresses stay: the listeners are bound to them.
	s.settings.RetryRatio, s.settings.RetryExtra, s.settings.RetryWindow = settings.RetryRatio, settings.RetryExtra, settings.RetryWindow
	s.settings.LogLevel, s.settings.Seeds = settings.LogLevel, settings.Seeds
	s.budgets = map[string]*execution.RetryBudget{}
	s.mu.Unlock()
	s.peers.SetSeeds(settings.Seeds)
	s.setReadOptions(settings.readOptions())
	s.log.WithFields(logrus.Fields{"seeds": settings.Seeds, "level": settings.LogLevel}).Info("settings reloaded")
}
