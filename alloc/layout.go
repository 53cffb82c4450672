package alloc

// ServiceConfig is what the allocator needs to know of one service.
type ServiceConfig struct {
	Targets []Target
	// Weights holds each team's share.
	Weights map[string]int
}

// Target is an executor that takes new work.
type Target struct {
	Name  string
	Slots int
}
