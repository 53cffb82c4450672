// Package entry is the process on an entry host: it takes callers' requests, decides on them and sends them to targets.
package entry
