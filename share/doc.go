// Package share computes weighted max-min fair divisions of whole slots.
package share
