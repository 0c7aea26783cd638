package mutations

const fairsharePkg = "arbutusdeck/core/fairshare"

// fairshareMutations remove what divides capacity among workspaces, and the bounds on credit, debt and state.
var fairshareMutations = []mutation{
	{"an idle workspace gains no virtual time", "core/fairshare/virtualtime.go", "max(v.served[workspace], v.clock)\n}\n\n// Less", "v.served[workspace]\n}\n\n// Less", fairsharePkg, "TestIdleWorkspaces"},
	{"idle virtual times are dropped", "core/fairshare/virtualtime.go", "return served <= v.clock", "return false", fairsharePkg, "TestIdleVirtualTimesAreDropped"},
	{"a new workspace starts at the even share", "core/fairshare/ledger.go", "		a.charged = max(even-l.elsewhere[workspace], 0)\n", "", fairsharePkg, "TestIdlingMakesNeitherCreditNorDebt"},
	{"unused shares are not saved up", "core/fairshare/ledger.go", "		l.raise(a, least-a.charged)\n", "		l.raise(a, 0)\n", fairsharePkg, "TestUnusedShareIsLostBeyondTheFloor"},
	{"a change of weights makes no credit", "core/fairshare/ledger.go", "max((a.charged+elsewhere)*l.weightOf(a.workspace)/cmp.Or(previous[a.workspace], 1)-elsewhere, 0)", "max(a.charged+0*(elsewhere+previous[a.workspace]), 0)", fairsharePkg, "TestAChangeOfWeights"},
	{"plentiful resources cost little", "core/fairshare/cost.go", "			price[i] = (price[i] / highest) * (price[i] / highest)\n", "			price[i] = 1\n", fairsharePkg, "TestScarceResourcesCount"},
	{"accounts are bounded", "core/fairshare/ledger.go", "		workspace = 0\n", "", fairsharePkg, "TestAccountsAreBounded"},
	{"unused accounts are removed", "core/fairshare/ledger.go", "now.Sub(a.active) > max(forget", "false && now.Sub(a.active) > max(forget", fairsharePkg, "TestAccountsAreBounded"},
	{"usage of other zones expires", "core/fairshare/ledger.go", "		if now.Sub(z.at) > l.options.MaxAge {", "		if zone == \"\" && now.Sub(z.at) > l.options.MaxAge {", fairsharePkg, "TestUsageOfOtherZonesExpires"},
	{"invalid amounts count as none", "core/fairshare/cost.go", "	if x > 0 && !math.IsInf(x, 1) {", "	if true {", fairsharePkg, "TestUsageOfOtherZonesExpires"},
	{"with room for all nobody is held back", "core/fairshare/decide.go", "	case !exceeds || share >= 1:", "	case false:", fairsharePkg, "TestNobodyIsHeldBack|TestWithRoomForAll"},
	{"usage divides the capacity", "core/fairshare/ledger.go", "	l.raise(a, l.capacityTime(amounts))\n", "", fairsharePkg, "TestAFloodCostsTheOthersLittle"},
	{"what is held so far is charged", "core/placement/usage.go", "		t.reportHeld(now, t.active[id])\n", "		_ = id\n", placementPkg, "TestRunningDispatchesAreCharged"},
	{"each use is reported once", "core/placement/usage.go", "	a.reported = now\n", "", placementPkg, "TestEachDispatchIsChargedOnce"},
	{"a prompt is reported once", "core/placement/usage.go", "	a.prefillReported = true\n", "", placementPkg, "TestEachDispatchIsChargedOnce"},
	{"a lost dispatch is charged for its lifetime", "core/placement/usage.go", "		now = a.expires\n", "", placementPkg, "TestALostDispatchIsCharged"},
	{"a refused attempt is charged for its prefill only", "core/placement/usage.go", "t.reportPrefill(now, a, t.prefilledShare(now, a))", "t.reportPrefill(now, a, 1)", placementPkg, "TestAnAttemptIsCharged"},
	{"invalid weights are rejected", "core/routes/table.go", "workspace.Weight < 0 || math.IsNaN(workspace.Weight) || math.IsInf(workspace.Weight, 0)", "false && math.IsNaN(0)", routesPkg, "TestErrorsName"},
}
