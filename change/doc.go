// Package change sends operators' configuration changes to an entry process; a dry run only validates them, and a recording client keeps them in memory.
package change
