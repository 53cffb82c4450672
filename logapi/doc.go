// Package logapi is the client of the platform's log service and host list; besides it, only package fake, which imitates the platform, depends on their protocols.
package logapi
