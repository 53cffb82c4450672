package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net"
	"time"
)

// handshakeTimeout bounds how long a new connection may take to send the handshake.
const handshakeTimeout = 2 * time.Second

// handshake returns the first bytes of each connection, a hash of the secret that all peers share.
func handshake(secret string) []byte {
	sum := sha256.Sum256([]byte("lavenderwing peer 1\x00" + secret))
	return sum[:]
}

// verifyHandshake reads the handshake of a connection and reports whether it matches the secret.
func verifyHandshake(c net.Conn, secret string) bool {
	if err := c.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return false
	}
	var got [sha256.Size]byte
	if _, err := io.ReadFull(c, got[:]); err != nil {
		return false
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	return subtle.ConstantTimeCompare(got[:], handshake(secret)) == 1
}
