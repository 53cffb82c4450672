// Package fleet defines the immutable rows of the configuration (teams, keys, queues, services, pools and hosts) and the members of the cluster of entry processes.
package fleet
