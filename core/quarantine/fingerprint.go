package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Fingerprint names a request over all attempts in which it comes, at any entry. It is made of
// what backend servers are given of the request, since that decides what they do with it. It
// is long enough that two requests never share one, also if somebody tries to make them.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. Callers are told apart by workspace,
// which is all that servers learn of them; it is empty on public routes.
func FingerprintOf(workspace, method, host, uri string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, field := range []string{workspace, method, host, uri} {
		// With its length, so that no field can be mistaken for the end of the one before it.
		// A hash never fails to take bytes.
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = io.WriteString(hash, field)
	}
	_, _ = hash.Write(body)
	var f Fingerprint
	copy(f[:], hash.Sum(nil))
	return f
}

// Compare orders fingerprints, for lists that are the same each time.
func Compare(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) }

// String returns the fingerprint as log lines show it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
