// Package shed decides which jobs a full pool accepts, in which order it serves them, and when refused callers should return.
package shed
