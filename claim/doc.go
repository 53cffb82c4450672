// Package claim decides which writer may send a non-idempotent request, from the order of claims in the log.
package claim
