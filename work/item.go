package work

import (
	"fmt"
	"strconv"
	"strings"
)

// ItemID identifies a work item of one occurrence of a job's step.
type ItemID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String is the item's name at targets.
func (i ItemID) String() string {
	return string(i.Job) + "." + strconv.Itoa(i.Occurrence) + "." + strconv.Itoa(i.Step) + "." + strconv.Itoa(i.Index)
}

// ItemIDError reports a text that names no work item.
type ItemIDError struct {
	Text string
}

// Error quotes the text.
func (e *ItemIDError) Error() string { return fmt.Sprintf("%q names no work item", e.Text) }

// ParseItemID reads an item's name.
func ParseItemID(text string) (ItemID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || !ValidJobID(parts[0]) {
		return ItemID{}, &ItemIDError{Text: text}
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return ItemID{}, &ItemIDError{Text: text}
		}
		n[i] = v
	}
	return ItemID{Job: JobID(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}
