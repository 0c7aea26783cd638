package gateway

import (
	"fmt"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusdeck/core/placement"
)

// placementOptions returns the options of the load table.
func (s *Settings) placementOptions() placement.Options {
	options := placement.DefaultOptions(s.Zone)
	options.LearnedTimes = s.Overload.LearnedTimes
	return options
}

// updateLearnedRatios sets the gauges of the learned ratio of the real to the modelled time to the first event, in
// thousandths, by service and occupancy, and removes those of services that are gone.
func (s *Server) updateLearnedRatios(now time.Time) {
	s.mu.Lock()
	ratios := s.loadTable.LearnedRatios(now)
	s.mu.Unlock()
	current := map[string]bool{}
	set := func(name string, ratio float64) {
		current[name] = true
		metrics.GetOrRegisterGauge(name, s.registry).Update(int64(math.Round(ratio * 1000)))
	}
	for _, r := range ratios {
		set(fmt.Sprintf("learned.%s.%s.median", r.Service, r.Level), r.Median)
		set(fmt.Sprintf("learned.%s.%s.p90", r.Service, r.Level), r.P90)
	}
	for name := range s.learnedGauges {
		if !current[name] {
			s.registry.Unregister(name)
		}
	}
	s.learnedGauges = current
}
