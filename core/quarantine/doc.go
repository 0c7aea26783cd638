// Package quarantine detects requests that crash backend servers (queries of death), also when they are repeated
// in another attempt or at another entry, and decides which of them are refused. The package is pure: the daemon
// detects crashed servers, sends records to the other entries, and refuses.
//
// Without it, an entry keeps nothing about a request beyond the caller's attempt. A request that crashed its
// server arrived as a new one each time, at any entry, and was sent to further servers until none was left; each
// crash cut off nine answers of other requests on average.
//
// A crashing server takes down all its requests, so that innocent requests are recorded beside the culprit. Three
// rules distinguish them:
//
//   - Only a request that has just started at the server is recorded (RecentlyStarted). Most requests that run
//     there have been answered for longer.
//   - A crash is attributed to the request that was at most crashes (Tracker.attributedCrashes). Requests beside
//     the culprit are there once or twice, together with one that was there more often.
//   - A complete answer clears a request, for the past and for a while after: it has run to its end without a
//     crash of its server.
//
// Requests that share a part of their prompt which crashes servers may otherwise all be different. PartTracker records
// crashes by part, by the same evidence and with rules of its own.
//
// Entries that hold the same records decide alike, in whatever order they received them.
package quarantine
