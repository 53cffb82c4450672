package work

import (
	"fmt"
	"strconv"
	"strings"
)

// ItemID identifies one work item by job, occurrence, step and index within the step.
type ItemID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the identifier in the form that targets use: JOB.OCCURRENCE.STEP.INDEX.
func (i ItemID) String() string {
	return string(i.Job) + "." + strconv.Itoa(i.Occurrence) + "." + strconv.Itoa(i.Step) + "." + strconv.Itoa(i.Index)
}

// ItemIDError reports a text that is not a valid item identifier.
type ItemIDError struct {
	Text string
}

// Error returns a message that quotes the text.
func (e *ItemIDError) Error() string { return fmt.Sprintf("%q is not a work item identifier", e.Text) }

// ParseItemID parses an identifier in the form of ItemID.String.
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
