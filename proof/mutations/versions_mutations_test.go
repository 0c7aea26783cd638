package mutations

// versionMutations remove what brings a configuration to all entries within the limit, and what a refusal by it rests
// on.
var versionMutations = []mutation{
	{"a watch begins where the configuration was read", "entry/storeread/loop.go", "min(r.target.Position(), operators.Revision), nil", "r.target.Position(), nil", storereadPkg, "TestAWatchBegins"},
	{"a version that a new reader finds is announced", "entry/storeread/loop.go", " || r.target.Version() > known", " || r.target.Version() < known", storereadPkg, "TestAVersionFound"},
	{"an answer of the store counts once it is applied", "entry/storeread/loop.go", "	r.target.ApplyChanges(operators, \"platform\")\n", "	r.recordSuccess(answeredAt)\n	r.target.ApplyChanges(operators, \"platform\")\n", storereadPkg, "TestAnAnswerCounts"},
	{"a view is fetched from a second peer", "core/peering/newer.go", " || now.Sub(m.fetchBegan) < FetchHedgeDelay", " || true", peeringPkg, "TestAViewIsFetchedFromASecondPeer"},
	{"a peer that failed to deliver is not asked at once", "core/peering/newer.go", "m.fetchBegan.IsZero() && (m.fetchFailed.IsZero() || now.Sub(m.fetchFailed) >= fetchRetryDelay)", "m.fetchBegan.IsZero()", peeringPkg, "TestAViewIsFetchedFromASecondPeer"},
	{"fetches of views are bounded", "core/peering/newer.go", "count == maxFetches || ", "", peeringPkg, "TestAViewIsFetchedFromASecondPeer"},
	{"a version that no peer delivers is read from the store", "core/peering/readers.go", " || g.isUndelivered(now, self, stagger)", "", gatewayPkg, "TestAVersionThatAPeer"},
	{"a store without the version is not read again", "core/peering/readers.go", " && self.Age > behind", "", peeringPkg, "TestAVersionThatTheStoreLacks"},
	{"a silent watch ends within the limit", "core/peering/readers.go", "		return max(min(longest, o.Limit-WatchMargin-o.PollDelay()), minLongPoll)\n", "		return longest\n", peeringPkg, "TestAShortLimit"},
	{"a connection to the store is not used after a while", "entry/gateway/server.go", "const storeIdleTimeout = time.Second", "const storeIdleTimeout = time.Minute", gatewayPkg, "TestAConnectionToTheStore"},
	{"a refusal for good rests on a confirmed version", "entry/gateway/handler.go", " || !e.s.reader.Options().Confirms(age)", "", gatewayPkg, "TestARefusalForGood"},
	{"a refusal for good rests on the latest version", "entry/gateway/handler.go", "latest > e.table.Version() || ", "", gatewayPkg, "TestARefusalForGood"},
}
