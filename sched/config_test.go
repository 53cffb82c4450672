package sched

import (
	"testing"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// TestConfigureIgnoresOlderVersion guards against a return to an earlier configuration when versions arrive out of order.
func TestConfigureIgnoresOlderVersion(t *testing.T) {
	is := is.New(t)
	table := New(testBounds())
	is.True(table.Configure(&work.Config{Version: 2}))
	is.True(!table.Configure(&work.Config{Version: 1}))
	is.Equal(table.config.Version, int64(2))
}
