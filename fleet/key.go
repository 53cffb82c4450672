package fleet

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strings"
)

// secretBytes is the entropy of a generated key; it is high enough that a plain hash resists guessing.
const secretBytes = 24

// keySeparator stands between the key's public identifier and its secret.
const keySeparator = "."

// Key lets its bearer submit work for one team; only the hash of the secret is kept.
type Key struct {
	Name      string `json:"name"`
	Team      string `json:"team"`
	Hash      []byte `json:"hash"`
	Withdrawn bool   `json:"withdrawn"`
	Version   int64  `json:"version"`
}

// NewKey generates a key and returns its row with the text that the bearer shows.
func NewKey(name, team string) (Key, string) {
	secret := make([]byte, secretBytes)
	// crypto/rand never returns an error: it ends the process instead.
	_, _ = rand.Read(secret)
	text := base64.RawURLEncoding.EncodeToString(secret)
	return KeyFrom(name, team, text), name + keySeparator + text
}

// KeyFrom returns the row of a key whose secret is already known.
func KeyFrom(name, team, secret string) Key {
	hash := sha256.Sum256([]byte(secret))
	return Key{Name: name, Team: team, Hash: hash[:]}
}

// SplitKey returns the identifier and the secret of the text that a bearer shows, and false when it is malformed.
func SplitKey(text string) (name, secret string, ok bool) {
	name, secret, ok = strings.Cut(text, keySeparator)
	return name, secret, ok && name != "" && secret != ""
}

// Matches compares the secret with the stored hash in constant time.
func (k Key) Matches(secret string) bool {
	hash := sha256.Sum256([]byte(secret))
	return subtle.ConstantTimeCompare(hash[:], k.Hash) == 1
}

// ID returns the key's public identifier.
func (k Key) ID() string { return k.Name }

// At returns the log offset of the key's last change.
func (k Key) At() int64 { return k.Version }

// WithVersion returns a copy at the given version.
func (k Key) WithVersion(version int64) Key {
	k.Version = version
	return k
}

// WithWithdrawn returns a copy that no longer admits its bearer.
func (k Key) WithWithdrawn() Key {
	k.Withdrawn = true
	return k
}

// Problems returns every reason why the key is not acceptable.
func (k Key) Problems() []string {
	problems := join(present("name", k.Name), present("team", k.Team))
	if strings.Contains(k.Name, keySeparator) {
		problems = append(problems, "name contains "+keySeparator)
	}
	if len(k.Hash) != sha256.Size {
		problems = append(problems, "hash is not a SHA-256 sum")
	}
	return problems
}

func (Key) row() {}
