package admit

// TeamID is the row number of a team.
type TeamID int32

// ServiceID is the row number of a service.
type ServiceID int32

// TargetID is the row number of a target.
type TargetID int32

// NoTarget is no row of the target table.
const NoTarget TargetID = -1

// names gives each name a row number that it keeps for the life of the process.
type names[I ~int32] struct {
	byName map[string]I
	list   []string
}

func newNames[I ~int32]() names[I] { return names[I]{byName: map[string]I{}} }

// of returns the row number of a name and whether it is new.
func (n *names[I]) of(name string) (I, bool) {
	if i, ok := n.byName[name]; ok {
		return i, false
	}
	i := I(len(n.list))
	n.byName[name] = i
	n.list = append(n.list, name)
	return i, true
}
