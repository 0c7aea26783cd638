package mutations

// responsesMutations remove what tells whole responses from broken ones, and what bounds the memory of responses without end.
var responsesMutations = []mutation{
	{"a reset that a write got is an error of the read", "core/netopts/connection.go", "	if err := c.brokenBy(); err != nil {\n		return err\n	}\n", "", netoptsPkg, "TestAResetThatAWriteGot"},
	{"a read waits for the write that gets the reset", "core/netopts/connection.go", "	if !c.isOpen() {\n", "	if false {\n", netoptsPkg, "TestReadWaitsForTheWrite"},
	{"a plain end waits for no write", "core/netopts/connection.go", "	return err == nil && !closed\n", "	return err == nil && closed\n", netoptsPkg, "TestAPlainEndIsNoError"},
	{"a reset after the end breaks nothing", "core/netopts/connection.go", "	if errors.Is(c.writeErr, syscall.EPIPE) {\n", "	if errors.Is(c.writeErr, net.ErrClosed) {\n", netoptsPkg, "TestAPlainEndIsNoError"},
}
