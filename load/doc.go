// Package load sends an open-loop load, shaped like that of the users, to entry processes and checks the replies against the runs that the stand-in's executors counted.
package load
