package mutations

const servertimesPkg = "arbutusdeck/core/servertimes"

// learnedMutations remove what predictions by a server's own times rest on.
var learnedMutations = []mutation{
	{"predictions are corrected by what was shown", "core/placement/loss.go", "		ratio := c.times.Median\n", "		ratio := 1.0\n", placementPkg, "TestFirstEventsComeWhenPredicted"},
	{"the p90 is learned", "core/placement/learned.go", "	ratio := c.times.P90\n", "	ratio := c.times.Median\n", placementPkg, "TestFirstEventsComeWhenPredicted"},
	{"a prompt that is likely to be late is refused", "core/placement/admit.go", "max(best.Predicted, best.P90) > limit", "best.Predicted > limit", placementPkg, "TestAShortPromptThatIsLikely"},
	{"a server has its own ratio", "core/servertimes/servertimes.go", "	s.residuals.add(now, ratio-level-ofAge, serverHalfLife, maxServer)\n", "	s.residuals.add(now, 0*(ratio-level-ofAge), serverHalfLife, maxServer)\n", placementPkg, "TestFirstEventsComeWhenPredictedAtServersOfUnlike"},
	{"a slow start is learned", "core/servertimes/servertimes.go", "		c.ages[age].add(now, ratio-level, pooledHalfLife, maxPooled)\n", "", placementPkg, "TestFirstEventsComeWhenPredictedAtServersOfAnyAge"},
	{"occupancies are learned separately", "core/servertimes/servertimes.go", "	case requests <= 0:\n		return Idle\n", "	case requests >= 0:\n		return Idle\n", placementPkg, "TestFirstEventsComeWhenPredicted$"},
	{"an answer that is about to begin takes a pass", "core/placement/learned.go", "	if c.batch.Answers == 0 && c.requests > 0 {", "	if false {", placementPkg, "TestFirstEventsComeWhenPredictedAtServersOfAnyAge"},
	{"a single observation does not decide", "core/servertimes/servertimes.go", "serverHalfLife), 0, priorServer)", "serverHalfLife), 0, 0.01)", servertimesPkg, "TestAServersOwnRatio"},
	{"a server's ratio is forgotten with time", "core/servertimes/samples.go", "	return s.total * decay(now.Sub(s.latest), halfLife)", "	return s.total", servertimesPkg, "TestAServersOwnRatio"},
	{"samples are bounded", "core/servertimes/samples.go", "	if len(s.ring) < most {", "	if len(s.ring) < 60 {", servertimesPkg, "TestMemoryIsBounded"},
	{"outliers are bounded", "core/servertimes/servertimes.go", "	if !(o.Ratio > 0) { // NaN as well", "	if false {", servertimesPkg, "TestOutliersAreBounded"},
	{"services without servers are forgotten", "core/placement/loadtable.go", "	t.retainServices()\n", "", placementPkg, "TestARestartedServerIsPredicted"},
	{"nothing is learned where it is switched off", "core/placement/learned.go", "	if !options.LearnedTimes {", "	if false {", placementPkg, "TestChoicesAreThePublished|TestChoicesAreThoseOfBefore"},
	{"the setting switches learning on", "entry/gateway/learnedtimes.go", "	options.LearnedTimes = s.Overload.LearnedTimes\n", "", gatewayPkg, "TestLearnedRatiosAreMetered"},
	{"gauges of services that are gone are removed", "entry/gateway/learnedtimes.go", "		if !current[name] {", "		if false {", gatewayPkg, "TestLearnedRatiosAreMetered"},
}
