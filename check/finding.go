package check

import (
	"fmt"
	"slices"
)

// Severity ranks findings; a lower value is more severe.
type Severity int

// The severities of findings.
const (
	// Error is a finding that makes processes ignore the configuration or a part of it, or that lets accepted jobs wait without end.
	Error Severity = iota
	// Warning is an entry or a limit that processes accept but that cannot have its apparent effect.
	Warning
	// Note is information that needs no correction, such as a difference from the version in force.
	Note
)

// String returns the severity in lower case.
func (s Severity) String() string {
	switch s {
	case Error:
		return "error"
	case Warning:
		return "warning"
	default:
		return "note"
	}
}

// Kind says which part of a configuration a finding is about.
type Kind string

// The parts of a configuration.
const (
	Whole Kind = "configuration"
	Queue Kind = "queue"
	Pool  Kind = "pool"
	Team  Kind = "team"
)

// Field names a field of a part of a configuration; empty stands for the whole part.
type Field string

// The fields of all parts, in the words of package work. Findings about unread fields hold the path in the file instead.
const (
	Version            Field = "version"
	MaxBodyBytes       Field = "maxBodyBytes"
	Name               Field = "name"
	Host               Field = "host"
	PathPrefix         Field = "pathPrefix"
	PoolName           Field = "pool"
	Public             Field = "public"
	Priority           Field = "priority"
	MaxAttempts        Field = "maxAttempts"
	SlackFactor        Field = "slackFactor"
	FixedSlackMs       Field = "fixedSlackMs"
	TimeoutMs          Field = "timeoutMs"
	Advisor            Field = "advisor"
	BaseLatencyMs      Field = "advisor.baseLatencyMs"
	PerTargetLatencyMs Field = "advisor.perTargetLatencyMs"
	TicketValidityMs   Field = "advisor.ticketValidityMs"
	EnforcesCapacity   Field = "enforcesCapacity"
	Standby            Field = "standby"
	HealthPath         Field = "healthPath"
	Weight             Field = "weight"
	CapCPU             Field = "cap.cpu"
	CapMemMB           Field = "cap.memMB"
	CapGPUs            Field = "cap.gpus"
	Keys               Field = "keys"
)

// Finding is one mistake, doubt or difference. No finding contains a whole API key.
type Finding struct {
	Severity Severity
	Kind     Kind
	// Name is the name of the queue, pool or team; empty for the whole configuration.
	Name  string
	Field Field
	// Problem is a phrase about the field.
	Problem string
	// Allowed says which values are correct; empty in notes.
	Allowed string
	// Old and New are the values of a field that differs from the version in force.
	Old string
	New string
}

// Count returns the number of findings with the severity.
func Count(findings []Finding, severity Severity) int {
	n := 0
	for _, f := range findings {
		if f.Severity == severity {
			n++
		}
	}
	return n
}

// report collects findings.
type report struct{ findings []Finding }

func (r *report) add(severity Severity, kind Kind, name string, field Field, allowed, problem string, args ...any) {
	r.findings = append(r.findings, Finding{Severity: severity, Kind: kind, Name: name, Field: field, Allowed: allowed, Problem: fmt.Sprintf(problem, args...)})
}

// sorted returns the findings by severity, and otherwise in the order in which they were added, which is that of the configuration.
func (r *report) sorted() []Finding {
	slices.SortStableFunc(r.findings, func(a, b Finding) int { return int(a.Severity) - int(b.Severity) })
	return r.findings
}
