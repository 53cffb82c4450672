// Package pack decides which host of a pool with too many hosts is emptied of its serving items, so that the pool can release it.
package pack
