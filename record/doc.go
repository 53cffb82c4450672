// Package record holds the typed records that the log keeps, and their CBOR codec.
package record
