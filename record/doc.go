// Package record defines the typed records that are stored in the log, and their CBOR encoding.
package record
