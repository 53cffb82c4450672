// Package peaks remembers the peaks of a pool's arriving work and predicts the next one.
package peaks
