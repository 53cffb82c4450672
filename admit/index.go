package admit

// TeamID identifies a team by its index in the table.
type TeamID int32

// ServiceID identifies a service by its index in the table.
type ServiceID int32

// TargetID identifies a target by its index in the table.
type TargetID int32

// NoTarget stands for the absence of a target.
const NoTarget TargetID = -1

// nameIndex assigns each name an index that stays the same for the life of the process.
type nameIndex[I ~int32] struct {
	byName map[string]I
	names  []string
}

func newNameIndex[I ~int32]() nameIndex[I] { return nameIndex[I]{byName: map[string]I{}} }

// intern returns the index of a name and whether it was added by this call.
func (n *nameIndex[I]) intern(name string) (I, bool) {
	if i, ok := n.byName[name]; ok {
		return i, false
	}
	i := I(len(n.names))
	n.byName[name] = i
	n.names = append(n.names, name)
	return i, true
}
