// Package accept keeps listeners of servers working after failed attempts to accept a connection.
package accept
