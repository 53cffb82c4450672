// Package load sends an open-loop load of the users' shape to entry processes and checks what comes back against what the stand-in's executors saw.
package load
