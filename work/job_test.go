package work

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/tools/txtar"
)

// TestValidate guards against a job whose numbers overflow once they are added or multiplied. Such a job was accepted and stored, and its occurrences were added without end by each holder that read it.
func TestValidate(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/validate.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			is := is.New(t)
			var job Job
			is.NoErr(json.Unmarshal(f.Data, &job))
			err := job.Validate()
			is.Equal(err == nil, strings.HasPrefix(f.Name, "valid:")) // the job is accepted
		})
	}
}

// TestTextsOfTargetsSurviveStorage guards against a progress record that no successor can decode, so that items that are done run again. A checkpoint is a text of the target and may not be valid UTF-8.
func TestTextsOfTargetsSurviveStorage(t *testing.T) {
	is := is.New(t)
	value, err := Encode(&JobProgress{Items: []ItemProgress{{Run: 1, Checkpoint: "\xff\xfe"}}})
	is.NoErr(err)
	var p JobProgress
	is.NoErr(Decode(value, &p))
	is.Equal(p.Items[0].Checkpoint, "\xff\xfe")
}

// TestProgressOfTheVersionBeforeIsDecoded guards against a holder of a new version that drops the progress of all jobs during an upgrade, so that items that are done run again.
func TestProgressOfTheVersionBeforeIsDecoded(t *testing.T) {
	is := is.New(t)
	value, err := Encode([]any{Running, false, []any{[]any{0, 1, 2, true, 3, 1, "a", "c"}}, 0})
	is.NoErr(err)
	var p JobProgress
	is.NoErr(Decode(value, &p))
	is.Equal(p.Items, []ItemProgress{{Step: 1, Index: 2, Done: true, Run: 3, Failures: 1, Target: "a", Checkpoint: "c"}})
}

// TestInvalidTextIsRefused guards against a job that is stored although nobody can read it.
func TestInvalidTextIsRefused(t *testing.T) {
	is := is.New(t)
	for _, job := range []Job{
		{Spec: "\xff", Steps: []Step{{Count: 1}}},
		{Steps: []Step{{Count: 1, Image: "\xff"}}},
		{Steps: []Step{{Count: 1, RequiredLabel: "\xff"}}},
		{Steps: []Step{{Count: 1, DataRack: "\xff"}}},
	} {
		is.True(job.Validate() != nil)
	}
}

// TestTermsOfTheQueueSurviveStorage guards against jobs that fail at their first failed run, because the holder that reads them does not know their queue any more.
func TestTermsOfTheQueueSurviveStorage(t *testing.T) {
	is := is.New(t)
	q := Queue{Name: "q", Pool: "p", Host: "h", PathPrefix: "/q/", Priority: 2, MaxAttempts: 4, SlackFactor: 1.5, FixedSlackMs: 600, Advisor: &AdvisorConfig{BaseLatencyMs: 5, PerTargetLatencyMs: 0.5, TicketValidityMs: 900}}
	value, err := Encode(&Job{ID: "1", Queue: q.Name, Pool: q.Pool, Terms: q.Terms()})
	is.NoErr(err)
	var job Job
	is.NoErr(Decode(value, &job))
	kept := q
	kept.Host, kept.PathPrefix = "", ""
	is.Equal(*job.AcceptedQueue(), kept)
}

// TestJobOfTheVersionBeforeIsDecoded guards against a holder of a new version that drops all accepted jobs during an upgrade.
func TestJobOfTheVersionBeforeIsDecoded(t *testing.T) {
	is := is.New(t)
	value, err := Encode(&earlierJob{ID: "1", Queue: "q", Pool: "p", Team: "t", Spec: "s", Steps: []Step{{Count: 2}}, FirstRunMs: 3, IntervalMs: 4, Occurrences: 5, AcceptedMs: 6})
	is.NoErr(err)
	var job Job
	is.NoErr(Decode(value, &job))
	is.Equal(job, Job{ID: "1", Queue: "q", Pool: "p", Team: "t", Spec: "s", Steps: []Step{{Count: 2}}, FirstRunMs: 3, IntervalMs: 4, Occurrences: 5, AcceptedMs: 6})
	is.Equal(job.AcceptedQueue().MaxAttempts, 1)
}
