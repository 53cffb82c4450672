// Package load imitates the bursts of the users' load: it sends requests to entry processes at given rates, without waiting for replies, and checks the replies against the runs that the stand-in's executors counted.
package load
