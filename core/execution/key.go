package execution

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
)

const issuedPrefix = "ark1."

// ErrInvalidKey is wrapped by every error of Keys.Parse.
var ErrInvalidKey = errors.New("not a usable Idempotency-Key")

// IssuedKey is a key issued by an entry. It names its home server, so that every
// entry routes it to the same daemon whatever its view of the fleet.
type IssuedKey struct {
	Service       string      `json:"s"`
	Server        string      `json:"h"`
	Incarnation   Incarnation `json:"i"`
	CreatedUnixMS int64       `json:"t"`
	Nonce         string      `json:"n"`
}

// CreatedAt returns the key's creation time.
func (k IssuedKey) CreatedAt() time.Time { return time.UnixMilli(k.CreatedUnixMS) }

// Keys issues and parses keys that are authenticated with the secret that the daemons share.
type Keys struct{ secret []byte }

// NewKeys returns an issuer and parser for a secret.
func NewKeys(secret []byte) *Keys { return &Keys{secret: secret} }

// Issue encodes the key as text with a MAC.
func (k *Keys) Issue(key IssuedKey) string {
	body, err := json.Marshal(key)
	if err != nil {
		panic(err) // plain strings and integers always encode
	}
	encoded := base64.RawURLEncoding.EncodeToString(body)
	return issuedPrefix + encoded + "." + base64.RawURLEncoding.EncodeToString(k.sign(encoded))
}

func (k *Keys) sign(text string) []byte {
	mac := hmac.New(sha256.New, k.secret)
	mac.Write([]byte(text))
	return mac.Sum(nil)[:16]
}

// ParsedKey is a key parsed from a request; Issued is nil for a key created by the caller.
type ParsedKey struct {
	Text      string
	CreatedAt time.Time
	Issued    *IssuedKey
}

// Parse parses an Idempotency-Key: an issued key, or a version 7 UUID created by
// the caller. Errors wrap ErrInvalidKey.
func (k *Keys) Parse(text string) (ParsedKey, error) {
	if strings.HasPrefix(text, issuedPrefix) {
		return k.parseIssued(text)
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return ParsedKey{}, fmt.Errorf("%w: give a key from POST /v1/idempotency-keys or a UUID of version 7", ErrInvalidKey)
	}
	seconds, nanos := id.Time().UnixTime()
	return ParsedKey{Text: id.String(), CreatedAt: time.Unix(seconds, nanos)}, nil
}

func (k *Keys) parseIssued(text string) (ParsedKey, error) {
	encoded, mac, ok := strings.Cut(strings.TrimPrefix(text, issuedPrefix), ".")
	if !ok {
		return ParsedKey{}, fmt.Errorf("%w: it has been cut short", ErrInvalidKey)
	}
	sum, err := base64.RawURLEncoding.DecodeString(mac)
	if err != nil || !hmac.Equal(sum, k.sign(encoded)) {
		return ParsedKey{}, fmt.Errorf("%w: it was not issued here", ErrInvalidKey)
	}
	body, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return ParsedKey{}, fmt.Errorf("%w: it can't be read", ErrInvalidKey)
	}
	var key IssuedKey
	if err := json.Unmarshal(body, &key); err != nil {
		return ParsedKey{}, fmt.Errorf("%w: it can't be read", ErrInvalidKey)
	}
	return ParsedKey{Text: text, CreatedAt: key.CreatedAt(), Issued: &key}, nil
}
