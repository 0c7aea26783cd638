// Package quarantine recognises requests under which backend servers end, also when they come
// again in another attempt or at another entry.
package quarantine
