// Package plat is the client of the platform, for its log service and its host list; no other package depends on its protocols.
package plat
