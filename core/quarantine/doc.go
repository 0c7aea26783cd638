// Package quarantine recognises requests under which backend servers end (queries of death),
// also when they come again in another attempt or at another entry, and says which of them are
// refused from then on. It is pure: the daemon finds out that servers have ended, carries
// records to the other entries, and refuses.
//
// What an entry knows of a request otherwise ends with the caller's one attempt. A request that
// ends its server came as a new one each time, to any entry, and was sent on until no server was
// left; each end cut nine answers of others on the mean.
//
// A server that ends takes with it all that it runs, so that sound requests are recorded beside
// the one at fault. Three rules tell them apart:
//
//   - Only a request that has just begun at the server is recorded (JustBegun). Most of what
//     runs there has been answered for longer.
//   - An end is charged to the request that was at most ends of servers (Watch.charged). Who
//     runs beside the one at fault is there once or twice, with another one that was there more
//     often.
//   - A whole answer clears a request, for what was before it and for a while after: it has run
//     to its end and its server lives.
//
// Entries that know the same records decide alike, in whatever order they heard of them.
package quarantine
