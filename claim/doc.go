// Package claim decides which writer may send a non-idempotent request: the one whose claim comes first in the log.
package claim
