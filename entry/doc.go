// Package entry implements the entry process. It takes callers' requests, admits them within shares and limits and forwards them to targets. An entry process is identified by its seat, the address at which its peers reach it.
package entry
