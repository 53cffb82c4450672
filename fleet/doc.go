// Package fleet holds the immutable rows that operators and the platform describe: teams, keys, queues, services, pools and hosts.
package fleet
