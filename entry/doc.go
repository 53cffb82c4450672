// Package entry implements the entry process. It takes callers' requests, admits them within shares and limits and forwards them to targets. Entry processes are identified by seat, the address at which peers reach them.
package entry
