package process

// Version is the version of both binaries.
var Version = "0.1.0"

// ExitCodesHelp is the help text on the exit codes of both binaries.
const ExitCodesHelp = `Exit codes:
   0  done; after serve: stopped as planned, nothing cut off
   1  failed; the message says why
   2  wrong flags or settings
   3  check: the configuration folder was refused
   4  serve: stopped with requests still open (SIGINT during the stop, or stopLimit)
   5  serve: the address is taken, perhaps by a paused daemon`
