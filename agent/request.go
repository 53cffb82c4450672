package agent

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

// request is a caller's request on its way through the process.
type request struct {
	question mesh.Request
	queue    *work.Queue
	version  int64
	began    time.Duration
	wait     time.Duration
}

// read finds the queue and the team of a request; a status other than 0 refuses it.
func (a *Agent) read(ctx *fasthttp.RequestCtx) (*request, int, string) {
	r := &request{began: a.clock.Now(), wait: callerWait(ctx)}
	state := a.config.Load()
	if state == nil {
		return r, fasthttp.StatusServiceUnavailable, "no configuration yet"
	}
	r.version = state.config.Version
	path := string(ctx.Path())
	queue, ok := state.config.Route(hostOf(ctx), path)
	if !ok {
		return r, fasthttp.StatusNotFound, "no such queue"
	}
	r.queue = queue
	r.question.Queue = queue.Name
	if !queue.Public {
		key, found := strings.CutPrefix(string(ctx.Request.Header.Peek(platform.APIKeyHeader)), platform.APIKeyScheme)
		team, known := state.config.TeamByKey(key)
		if !found || !known {
			return r, fasthttp.StatusUnauthorized, "unknown key"
		}
		r.question.Team = team.Name
	}
	return a.readCall(ctx, r, path[len(queue.PathPrefix):])
}

func (a *Agent) readCall(ctx *fasthttp.RequestCtx, r *request, rest string) (*request, int, string) {
	r.question.ID = work.JobID(rest)
	if rest != "" && !work.ValidJobID(rest) {
		return r, fasthttp.StatusNotFound, "no job identifier"
	}
	switch {
	case ctx.IsGet() && rest == "":
		r.question.Kind = mesh.Pending
	case ctx.IsGet():
		r.question.Kind = mesh.Status
	case ctx.IsDelete() && rest != "":
		r.question.Kind = mesh.Cancel
	case ctx.IsPost() && rest != "":
		r.question.Kind = mesh.Submit
		return a.readJob(ctx, r)
	default:
		return r, fasthttp.StatusMethodNotAllowed, "no such method here"
	}
	return r, 0, ""
}

func (a *Agent) readJob(ctx *fasthttp.RequestCtx, r *request) (*request, int, string) {
	job, err := platform.DecodeJob(ctx.PostBody())
	if err != nil {
		return r, fasthttp.StatusBadRequest, err.Error()
	}
	job.ID, job.Queue, job.Pool, job.Team = r.question.ID, r.queue.Name, r.queue.Pool, r.question.Team
	job.AcceptedMs = time.Now().UnixMilli()
	value, err := work.Encode(job)
	if err != nil {
		a.log.Error("job cannot be encoded", zap.Error(err))
		return r, fasthttp.StatusInternalServerError, "job cannot be encoded"
	}
	r.question.Job = value
	return r, 0, ""
}

func hostOf(ctx *fasthttp.RequestCtx) string {
	host := string(ctx.Host())
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		return host[:at]
	}
	return host
}

func callerWait(ctx *fasthttp.RequestCtx) time.Duration {
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(platform.DeadlineHeader))); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultWait
}
