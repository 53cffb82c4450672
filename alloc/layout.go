package alloc

// Layout is what the allocator needs to know of one service.
type Layout struct {
	Targets []Target
	// Weights holds each team's share.
	Weights map[string]int
}

// Target is an executor that takes new work.
type Target struct {
	Name  string
	Slots int
}
