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
	{"a malformed response is not asked for again", "core/responses/transport.go", "	case first && errors.Is(c.err, ErrMalformed):\n", "	case first && false:\n", responsesPkg, "TestAMalformedResponseIsNotAskedForAgain"},
	{"bytes before the request are no response", "core/responses/transport.go", "	if !c.requested {\n", "	if false {\n", responsesPkg, "TestBytesBeforeTheRequest"},
}
