// Package change carries operators' changes to the fleet, for real, as a dry run, or into a recording.
package change
