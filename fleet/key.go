package fleet

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strings"
)

// secretSizeBytes is the number of random bytes in a generated secret. Nobody can guess 24 random bytes, so a fast hash without a salt is safe.
const secretSizeBytes = 24

// keySeparator separates the public identifier of a key from its secret.
const keySeparator = "."

// Key is an API key that authorizes requests of one team; only the hash of its secret is stored.
type Key struct {
	Name      string `json:"name"`
	Team      string `json:"team"`
	Hash      []byte `json:"hash"`
	Withdrawn bool   `json:"withdrawn"`
	Version   int64  `json:"version"`
}

// NewKey generates a key and returns its row and the text that clients send.
func NewKey(name, team string) (Key, string) {
	secret := make([]byte, secretSizeBytes)
	// crypto/rand.Read never returns an error: it crashes the program instead.
	_, _ = rand.Read(secret)
	text := base64.RawURLEncoding.EncodeToString(secret)
	return KeyFromSecret(name, team, text), name + keySeparator + text
}

// KeyFromSecret returns the row of a key with the given secret.
func KeyFromSecret(name, team, secret string) Key {
	hash := sha256.Sum256([]byte(secret))
	return Key{Name: name, Team: team, Hash: hash[:]}
}

// SplitKey splits the text that a client sends into the identifier and the secret of a key; it returns false if the text is malformed.
func SplitKey(text string) (name, secret string, ok bool) {
	name, secret, ok = strings.Cut(text, keySeparator)
	return name, secret, ok && name != "" && secret != ""
}

// Matches reports whether the secret belongs to the key, comparing hashes in constant time.
func (k Key) Matches(secret string) bool {
	hash := sha256.Sum256([]byte(secret))
	return subtle.ConstantTimeCompare(hash[:], k.Hash) == 1
}

// ID returns the key's public identifier.
func (k Key) ID() string { return k.Name }

// RowVersion returns the log offset of the key's last change.
func (k Key) RowVersion() int64 { return k.Version }

// WithVersion returns a copy at the given version.
func (k Key) WithVersion(version int64) Key {
	k.Version = version
	return k
}

// WithWithdrawn returns a copy that no longer authorizes requests.
func (k Key) WithWithdrawn() Key {
	k.Withdrawn = true
	return k
}

// Problems returns every reason why the key is invalid.
func (k Key) Problems() []string {
	problems := concat(notEmpty("name", k.Name), notEmpty("team", k.Team))
	if strings.Contains(k.Name, keySeparator) {
		problems = append(problems, "name contains "+keySeparator)
	}
	if len(k.Hash) != sha256.Size {
		problems = append(problems, "hash is not a SHA-256 sum")
	}
	return problems
}

func (Key) row() {}
