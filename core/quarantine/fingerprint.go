package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Fingerprint identifies a request across attempts and entries. It covers what backend servers receive of the
// request, since that decides what they do. It is long enough to rule out collisions, including deliberate ones.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. The workspace, all that servers learn of a caller,
// separates callers; it is empty on public routes.
func FingerprintOf(workspace, method, host, uri string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, field := range []string{workspace, method, host, uri} {
		// The length keeps a field from being mistaken for the end of the one before it. A hash never fails to
		// write.
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = io.WriteString(hash, field)
	}
	_, _ = hash.Write(body)
	var f Fingerprint
	copy(f[:], hash.Sum(nil))
	return f
}

// Compare orders fingerprints, for deterministic lists.
func Compare(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) }

// String returns the fingerprint in hexadecimal, as in log lines.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
