package process

// Version is the version of both binaries.
var Version = "0.1.0"

// ExitCodesHelp is the help text on the exit codes of both binaries.
const ExitCodesHelp = `Exit codes:
   0  success; after serve: graceful shutdown, no request was aborted
   1  failure; see the error message
   2  invalid flags or settings
   3  check: the configuration folder was refused
   4  serve: stopped with requests still open (SIGINT during the shutdown, or stopLimit)
   5  serve: the address is already in use, possibly by a paused daemon`
