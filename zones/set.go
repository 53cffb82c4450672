package zones

import (
	"maps"
	"slices"
)

// Record is an operator's record of an evacuation, with its offset in the operators' topic. It is not Active if the operator has removed the evacuation.
type Record struct {
	Zone   string
	Active bool
	Offset int64
}

// Set holds the evacuations that the records read so far request. Its zero value is empty; a Set is never changed.
type Set struct {
	// records holds the latest known record of each zone.
	records map[string]Record
	// wholeTo is the end of the latest read of all newest records: of the earlier records, only those that this read returned are in force.
	wholeTo int64
}

// With returns the set with a record. A record that precedes the latest known one of its zone, or that a read of all newest records has shown to be superseded, changes nothing.
func (s Set) With(r Record) Set {
	known, ok := s.records[r.Zone]
	if (ok && r.Offset <= known.Offset) || (!ok && r.Offset < s.wholeTo) {
		return s
	}
	next := Set{records: maps.Clone(s.records), wholeTo: s.wholeTo}
	if next.records == nil {
		next.records = map[string]Record{}
	}
	next.records[r.Zone] = r
	return next
}

// WithNewest returns the set after a read of all newest records, which reached to the offset end when it began. An evacuation that the read lacks is over, unless its record was read at that offset or a later one.
func (s Set) WithNewest(newest []Record, end int64) Set {
	present := make(map[string]bool, len(newest))
	next := s
	for _, r := range newest {
		present[r.Zone] = true
		next = next.With(r)
	}
	kept := maps.Clone(next.records)
	maps.DeleteFunc(kept, func(zone string, r Record) bool { return !present[zone] && r.Offset < end })
	return Set{records: kept, wholeTo: max(s.wholeTo, end)}
}

// Zones returns the evacuated zones in the order of their names.
func (s Set) Zones() []string {
	var list []string
	for zone, r := range s.records {
		if r.Active {
			list = append(list, zone)
		}
	}
	slices.Sort(list)
	return list
}
