// Package work defines the data model shared by the other packages: jobs and their steps, queues, pools, teams, targets, hosts and settings, and the records of their progress in the store.
package work
