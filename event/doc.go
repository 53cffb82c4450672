// Package event keeps each process's part of the time line that explains what the fleet did.
package event
