package sched

import (
	"testing"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// TestAnOlderConfigurationIsIgnored checks that a table never goes back to an earlier version.
func TestAnOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	table := New(testBounds())
	is.True(table.Configure(&work.Config{Version: 2}))
	is.True(!table.Configure(&work.Config{Version: 1}))
	is.Equal(table.config.Version, int64(2))
}
