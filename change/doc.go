// Package change sends operators' configuration changes to an entry process; a dry run only validates them, and a recording keeps them in memory.
package change
