package mutations

const (
	responsesPkg = "arbutusdeck/core/responses"
	wirePkg      = "arbutusdeck/core/wire"
	hostEngine   = "arbutusdeck/host/engine"
)

// responsesMutations remove what tells whole responses from broken ones, and what bounds the memory of responses without end.
var responsesMutations = []mutation{
	{"a reset that a write got is an error of the read", "core/netopts/connection.go", "	if err := c.brokenBy(); err != nil {\n		return err\n	}\n", "", netoptsPkg, "TestAResetThatAWriteGot"},
	{"a read waits for the write that gets the reset", "core/netopts/connection.go", "	if !c.isOpen() {\n", "	if false {\n", netoptsPkg, "TestReadWaitsForTheWrite"},
	{"a plain end waits for no write", "core/netopts/connection.go", "	return err == nil && !closed\n", "	return err == nil && closed\n", netoptsPkg, "TestAPlainEndIsNoError"},
	{"a reset after the end breaks nothing", "core/netopts/connection.go", "	if errors.Is(c.writeErr, syscall.EPIPE) {\n", "	if errors.Is(c.writeErr, net.ErrClosed) {\n", netoptsPkg, "TestAPlainEndIsNoError"},
	{"heads are checked", "core/responses/transport.go", "	if err := c.head.receive(data); err != nil {\n", "	if err := c.head.receive(data); false {\n", gatewayPkg, "TestAMalformedResponseIsNotPassedOn"},
	{"heads of the store are checked", "entry/gateway/server.go", "	return &http.Client{Transport: responses.NewTransport(&http.Transport{DialContext: newDialer(serverControl).DialContext, DisableCompression: true,\n		MaxIdleConnsPerHost: 2, IdleConnTimeout: storeIdleTimeout})}\n", "	return &http.Client{}\n", gatewayPkg, "TestAMalformedResponseOfTheStore"},
	{"heads of daemons are checked", "core/wire/client.go", "	transport := responses.NewTransport(&http.Transport{\n", "	_ = responses.NewTransport\n	transport := http.RoundTripper(&http.Transport{\n", wirePkg, "TestAMalformedResponse"},
	{"heads of engines are checked", "host/engine/client.go", "	transport := responses.NewTransport(&http.Transport{\n", "	_ = responses.NewTransport\n	transport := http.RoundTripper(&http.Transport{\n", hostEngine, "TestAMalformedResponse"},
	{"names of fields are tokens", "core/responses/head.go", " || !isToken(name)", "", responsesPkg, "TestTheGrammarDecides"},
	{"values have no control bytes", "core/responses/head.go", " || !isText(value)", " || value == nil", responsesPkg, "TestTheGrammarDecides"},
	{"statuses are within their range", "core/responses/head.go", "h.status < 100 || h.status > 599 || ", "", responsesPkg, "TestStatusesAreWithin"},
	{"a contradiction of framing is malformed", "core/responses/head.go", "	if err := h.checkFraming(); err != nil {\n", "	if err := h.checkFraming(); false {\n", responsesPkg, "TestContradictionsOfFraming"},
	{"a malformed response is not asked for again", "core/responses/transport.go", "	case first && !errors.Is(c.err, errUnsolicited):\n", "	case first && false:\n", responsesPkg, "TestAMalformedResponseIsNotAskedForAgain"},
	{"bytes before the request are no response", "core/responses/transport.go", "	if !c.requested {\n", "	if false {\n", responsesPkg, "TestBytesBeforeTheRequest"},
	{"heads are limited", "core/responses/head.go", "	if h.bytes > maxHeadBytes || h.lines > maxHeadLines {\n", "	if h.bytes < 0 {\n", responsesPkg, "TestHeadsAreLimited"},
	{"heads of interim responses are limited together", "core/responses/head.go", "		*h = head{bytes: h.bytes, lines: h.lines}\n", "		*h = head{bytes: h.bytes}\n", responsesPkg, "TestHeadsAreLimited"},
	{"heads are charged", "core/responses/transport.go", "		if !c.reserve(cost - c.reserved) {\n", "		if cost < 0 {\n", responsesPkg, "TestTheMemoryOfHeads"},
	{"events are charged", "entry/gateway/stream.go", "		if !r.reserve(needed - r.reserved) {\n", "		if needed < 0 {\n", gatewayPkg, "TestTheMemoryOfEvents"},
	{"replies of daemons are bounded", "core/wire/client.go", "http.MaxBytesReader(nil, response.Body, b.most)", "http.MaxBytesReader(nil, response.Body, 16*b.most)", wirePkg, "TestRepliesWithoutEnd"},
	{"frames are bounded", "core/wire/frames.go", "MaxFrame}.Unmarshal", "2*MaxFrame}.Unmarshal", wirePkg, "TestTheLargestFrames"},
	{"responses to orders are bounded", "platform/orders.go", "response.Body, maxOrderResponse)", "response.Body, 10_000*maxOrderResponse)", gatewayPkg, "TestResponsesToOrdersWithoutEnd"},
	{"responses of the store are bounded", "platform/store.go", "response.Body, maxResponse)", "response.Body, 32*maxResponse)", gatewayPkg, "TestResponsesOfTheStoreWithoutEnd"},
	{"lists of the store are bounded", "platform/store.go", "bytes > maxListBytes {", "bytes < 0 {", gatewayPkg, "TestAListWithoutEnd"},
	{"pages of the store are bounded", "platform/store.go", "	for range maxPages {\n", "	for range 2 * maxPages {\n", gatewayPkg, "TestAListWithoutEnd"},
	{"views are bounded", "entry/peerlink/viewcache.go", "	if len(decompressed) > maxViewBytes {\n", "	if len(decompressed) < 0 {\n", peerlinkPkg, "TestAViewWithoutEnd"},
	{"collected responses are charged", "entry/server/sink.go", "	if !m.reserve(needed - m.reserved) {\n", "	if needed < 0 {\n", entryServerPkg, "TestACollectedResponse"},
	{"a response that can't be collected is not taken for a lost caller", "entry/server/driver.go", "	if errors.Is(err, callers.ErrMemoryFull) {\n", "	if errors.Is(err, callers.ErrMemoryFull) && false {\n", entryServerPkg, "TestACollectedResponse"},
	{"a response that breaks off does not end regularly", "entry/server/sink.go", "	if !s.events {\n", "	if false {\n", entryServerPkg, "TestAResponseThatBreaksOff"},
	{"a response too many reaches nobody", "host/engine/client.go", "		DisableKeepAlives:  true,\n", "", hostEngine, "TestAResponseTooMany"},
}
