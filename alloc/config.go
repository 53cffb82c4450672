package alloc

// ServiceConfig holds the targets of one service and the teams' weights.
type ServiceConfig struct {
	Targets []Target
	// Weights maps each team to its share.
	Weights map[string]int
}

// Target holds the name and the number of slots of a target that accepts new requests.
type Target struct {
	Name  string
	Slots int
}
