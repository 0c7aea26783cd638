package mutations

const claimsPkg = "arbutusdeck/core/claims"

// claimsMutations remove the order of claims, what bounds them, and how a prompt waits for memory.
var claimsMutations = []mutation{
	{"late claims come after those in time", "core/claims/claim.go", "	if now.After(c.Due) {\n		return c.LateWorth\n", "	if false {\n		return c.LateWorth\n", claimsPkg, "TestALateClaim"},
	{"claims keep memory from later ones only", "core/claims/book.go", "if c.ID == of.ID || Compare(now, c, of) >= 0 {", "if c.ID == of.ID {", claimsPkg, "TestMemoryIsKeptFromLater"},
	{"a claim keeps nothing from itself", "core/claims/book.go", "if c.ID == of.ID || Compare(now, c, of) >= 0 {", "if Compare(now, c, of) > 0 {", claimsPkg, "TestMemoryIsKeptFromLater"},
	{"claims of entries that are not heard end", "core/claims/book.go", "(c.From == \"\" || now.Sub(c.heard) <= ttl)", "(c.From == \"\" || now.Sub(c.heard) <= 1000*ttl)", claimsPkg, "TestClaimsEnd"},
	{"claims end with their time", "core/claims/book.go", "return now.Before(c.Until) && ", "return ", claimsPkg, "TestClaimsEnd"},
	{"a withdrawal may overtake a report", "core/claims/book.go", "		b.withdrawn[r.ID] = now\n", "", claimsPkg, "TestClaimsEnd"},
	{"a claim is changed by its own entry only", "core/claims/book.go", "	if known != nil && known.From != from {\n", "	if false {\n", claimsPkg, "TestAClaimIsChanged"},
	{"own claims are bounded", "core/claims/book.go", "b.claims[c.ID] == nil && b.Own() >= MaxOwn", "false", claimsPkg, "TestTheNumberOfClaims"},
	{"claims of others are bounded", "core/claims/book.go", "known == nil && len(b.claims) >= MaxOwn+MaxPeers", "false", claimsPkg, "TestTheNumberOfClaims"},
	{"times are sent as ages", "core/claims/claim.go", "Due: in(r.DueMs), Until", "Due: now, Until", claimsPkg, "TestTimesAreSent"},
	{"claims don't count on the same memory", "core/claims/designate.go", " - kept[servers[i].Server].Tokens; room > 0", "; room > 0", claimsPkg, "TestClaimsOfTwoEntries"},
	{"memory is kept for no longer than it is used", "core/claims/designate.go", "after <= min(left, c.Hold)", "after <= left", claimsPkg, "TestMemoryIsNotKept"},
	{"hopeless claims are refused", "core/claims/designate.go", "wait > left {", "false {", claimsPkg, "TestAHopelessClaim"},
	{"a claim's value is a number", "core/claims/claim.go", "case !(r.LateWorth >= 0 && r.LateWorth <= r.Worth && r.Worth <= maxWorth):", "case r.LateWorth < 0 || r.LateWorth > r.Worth:", claimsPkg, "TestAnInvalidReport"},
	{"an invalid claim is rejected", "core/peering/codec.go", "		if err := m.Claims[i].Check(); err != nil {", "		if err := error(nil); err != nil {", peeringPkg, "TestAnInvalidMessage"},
	{"claims are split into packets", "core/peering/claims.go", "(parts[last]), report)) <= maxClaimBytes {", "(parts[last]), report)) <= 1000*maxClaimBytes {", peeringPkg, "TestClaimsAreSplit"},
	{"long prompts get no withheld memory", "core/placement/claims.go", "		c.free -= kept.Tokens\n		return\n", "		return\n", placementPkg, "TestALongPromptGets"},
	{"short prompts avoid withheld memory", "core/placement/claims.go", "		c.loss += kept.Loss * float64(taken)\n", "		_ = taken\n", placementPkg, "TestShortPromptsAvoid"},
	{"short prompts are not kept off by force", "core/placement/claims.go", "	if q.PromptTokens > t.options.ShortTokens {\n		c.free", "	if true {\n		c.free", placementPkg, "TestShortPromptsAvoid"},
	{"ends of requests wake waiting prompts", "entry/gateway/loadupdates.go", "	s.wakeClaims()\n", "", gatewayPkg, "TestAPromptWaitsUntil"},
	{"an entry refuses a prompt whose turn cannot come", "entry/gateway/claims.go", "	if plan.Hopeless {\n", "	if false {\n", gatewayPkg, "TestAPromptWhoseTurn"},
	{"claims are repeated", "entry/peerlink/heartbeats.go", "		l.repeatClaims(now)\n", "", gatewayPkg, "TestClaimsAreRepeated"},
	{"claims of other zones are ignored", "entry/gateway/claims.go", "m.Zone == s.settings.Zone && ", "", gatewayPkg, "TestClaimsOfOtherZones"},
	{"claims of a stopping entry end", "entry/gateway/claims.go", "restarted || m.Stopping", "restarted", gatewayPkg, "TestARestartedOrStopping"},
	{"a stopping entry refuses waiting prompts", "entry/gateway/claims.go", "	if e.s.stopping.Load() != nil {\n", "	if false {\n", gatewayPkg, "TestAStoppingEntryRefusesPrompts"},
	{"a caller that goes ends its claim", "entry/gateway/run.go", "	defer e.endClaim(\"ended\")\n", "", gatewayPkg, "TestACallerThatGoesEnds"},
	{"claims are off unless switched on", "entry/gateway/claims.go", "return s.settings.Overload.Claims", "return true", gatewayPkg, "TestWithoutClaims"},
}
