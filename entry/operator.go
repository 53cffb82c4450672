package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/record"
	"lavenderwing.example/lavenderwing/state"
)

// HeaderOperator names the operator whose token authorizes a call.
const HeaderOperator = "Operator"

// changeTimeout bounds the wait until a change is read back from the log.
const changeTimeout = 8 * time.Second

// ChangeReply is the reply to an operator's change.
type ChangeReply struct {
	// Version is the version of a configuration that includes the change, and zero for a dry run.
	Version int64 `json:"version"`
	DryRun  bool  `json:"dryRun"`
}

// ErrorReply is the reply to an operator's call that failed.
type ErrorReply struct {
	Message string   `json:"message"`
	Reasons []string `json:"reasons,omitempty"`
	Winner  string   `json:"winner,omitempty"`
}

// TablesReply holds the whole configuration.
type TablesReply struct {
	Version  int64           `json:"version"`
	Teams    []fleet.Team    `json:"teams"`
	Keys     []fleet.Key     `json:"keys"`
	Queues   []fleet.Queue   `json:"queues"`
	Services []fleet.Service `json:"services"`
	Pools    []fleet.Pool    `json:"pools"`
	Hosts    []fleet.Host    `json:"hosts"`
}

// requireOperator passes a call to next only if it has the token of a known operator.
func (n *Node) requireOperator(next func(ctx *fasthttp.RequestCtx, name string)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		name := string(ctx.Request.Header.Peek(HeaderOperator))
		token := strings.TrimPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), bearerPrefix)
		got := sha256.Sum256([]byte(token))
		want, ok := n.settings.Operators[name]
		if subtle.ConstantTimeCompare(got[:], want) != 1 || !ok {
			writeJSON(ctx, fasthttp.StatusUnauthorized, ErrorReply{Message: "operator or token not known"})
			return
		}
		next(ctx, name)
	}
}

func (n *Node) serveChange(ctx *fasthttp.RequestCtx, name string) {
	var change record.Change
	if err := json.Unmarshal(ctx.PostBody(), &change); err != nil {
		writeJSON(ctx, fasthttp.StatusBadRequest, ErrorReply{Message: err.Error()})
		return
	}
	change.Operator = name
	if !n.ready() {
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, ErrorReply{Message: "the configuration is not known yet"})
		return
	}
	if ctx.QueryArgs().GetBool("dryRun") {
		n.dryRun(ctx, change)
		return
	}
	waitCtx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	if err := n.stateWriter.SubmitAndWait(waitCtx, change); err != nil {
		writeChangeError(ctx, err)
		return
	}
	version := n.state.Tables().ConfigVersion()
	n.timeline.Add(event.KindConfig, "change", name, changedRowIDs(change))
	writeJSON(ctx, fasthttp.StatusOK, ChangeReply{Version: version})
}

// dryRun validates a change as a real one would be, by applying it to the current tables without keeping the result.
func (n *Node) dryRun(ctx *fasthttp.RequestCtx, change record.Change) {
	t := n.state.Tables()
	_, errs := t.Apply(t.Offset()+1, record.Batch{Writer: "dryRun", Sequence: t.LastSequence("dryRun") + 1, Records: []record.Record{change}})
	if errs[0] != nil {
		writeChangeError(ctx, errs[0])
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, ChangeReply{DryRun: true})
}

func writeChangeError(ctx *fasthttp.RequestCtx, err error) {
	var conflict *state.ConflictError
	var invalid *state.InvalidError
	switch {
	case errors.As(err, &conflict):
		writeJSON(ctx, fasthttp.StatusConflict, ErrorReply{Message: err.Error(), Winner: conflict.ChangedBy})
	case errors.As(err, &invalid):
		writeJSON(ctx, fasthttp.StatusUnprocessableEntity, ErrorReply{Message: "the change is not acceptable", Reasons: invalid.Reasons})
	case errors.Is(err, context.DeadlineExceeded):
		writeJSON(ctx, fasthttp.StatusGatewayTimeout, ErrorReply{Message: "the log did not take the change in time; it may still take effect"})
	default:
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, ErrorReply{Message: err.Error()})
	}
}

// changedRowIDs returns the identifiers of the rows of a change, for the timeline.
func changedRowIDs(c record.Change) string {
	var names []string
	for _, put := range c.Puts {
		names = append(names, put.Row().ID())
	}
	return strings.Join(names, ",")
}

func (n *Node) serveTables(ctx *fasthttp.RequestCtx, _ string) {
	t := n.state.Tables()
	writeJSON(ctx, fasthttp.StatusOK, TablesReply{
		Version:  t.ConfigVersion(),
		Teams:    t.Teams.All(),
		Keys:     t.Keys.All(),
		Queues:   t.Queues.All(),
		Services: t.Services.All(),
		Pools:    t.Pools.All(),
		Hosts:    t.Hosts.All(),
	})
}
