package mutations

// waitingMutations remove the rules by which an entry holds requests back until there is a slot.
var waitingMutations = []mutation{
	{"a request waits while all slots are taken", "entry/gateway/waiting.go", "!choice.SlotsTaken && !q.queue.Contended(now)", "true", gatewayPkg, "TestARequestWaitsUntil"},
	{"without the switch no request waits", "entry/gateway/waiting.go", "!s.settings.Overload.Queueing || service.Engine == nil", "service.Engine == nil", gatewayPkg, "TestWithoutTheSwitchARequest"},
	{"a caller that gives up leaves the queue", "entry/gateway/run.go", "	defer e.leaveQueue()\n", "", gatewayPkg, "TestACallerThatGivesUp"},
	{"an entry that stops refuses whoever waits", "entry/gateway/shutdown.go", "	s.stopQueues(now)\n", "", gatewayPkg, "TestAnEntryThatStopsRefuses"},
	{"no request waits at an entry that stops", "entry/gateway/waiting.go", "	if e.s.stopping.Load() != nil {\n", "	if false {\n", gatewayPkg, "TestAnEntryThatStopsRefuses"},
}
