// Package evict chooses which runs of low priority are stopped so that urgent work finds room in time.
package evict
