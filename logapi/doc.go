// Package logapi is the client of the platform's log service and host list. Only this package and package fake, which imitates the platform, depend on their protocols.
package logapi
