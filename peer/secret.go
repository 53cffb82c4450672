package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net"
	"time"
)

// greetWait bounds how long a new connection may take to show the peers' secret.
const greetWait = 2 * time.Second

// greeting is what a connection opens with: a hash of the secret that all peers share.
func greeting(secret string) []byte {
	sum := sha256.Sum256([]byte("lavenderwing peer 1\x00" + secret))
	return sum[:]
}

// welcome reads a greeting and reports whether it is right.
func welcome(c net.Conn, secret string) bool {
	if err := c.SetReadDeadline(time.Now().Add(greetWait)); err != nil {
		return false
	}
	var got [sha256.Size]byte
	if _, err := io.ReadFull(c, got[:]); err != nil {
		return false
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	return subtle.ConstantTimeCompare(got[:], greeting(secret)) == 1
}
