package agent

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

// callerRequest is a caller's request while the process handles it.
type callerRequest struct {
	request    mesh.Request
	queue      *work.Queue
	version    int64
	receivedAt time.Duration
	timeout    time.Duration
}

// readRequest decodes a request and finds its queue and team. If the request must be refused, it returns the HTTP status and the reason; otherwise the status is 0.
func (a *Agent) readRequest(ctx *fasthttp.RequestCtx) (*callerRequest, int, string) {
	r := &callerRequest{receivedAt: a.clock.Now(), timeout: callerTimeout(ctx)}
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
	r.request.Queue = queue.Name
	if !queue.Public {
		key, found := strings.CutPrefix(string(ctx.Request.Header.Peek(platform.APIKeyHeader)), platform.APIKeyScheme)
		team, known := state.config.TeamByKey(key)
		if !found || !known {
			return r, fasthttp.StatusUnauthorized, "unknown key"
		}
		r.request.Team = team.Name
	}
	return a.readMethod(ctx, r, path[len(queue.PathPrefix):])
}

// readMethod decodes the method and the rest of the path after the queue's prefix. Its results are those of readRequest.
func (a *Agent) readMethod(ctx *fasthttp.RequestCtx, r *callerRequest, rest string) (*callerRequest, int, string) {
	r.request.ID = work.JobID(rest)
	if rest != "" && !work.ValidJobID(rest) {
		return r, fasthttp.StatusNotFound, "no job identifier"
	}
	switch {
	case ctx.IsGet() && rest == "":
		r.request.Kind = mesh.Pending
	case ctx.IsGet():
		r.request.Kind = mesh.Status
	case ctx.IsDelete() && rest != "":
		r.request.Kind = mesh.Cancel
	case ctx.IsPost() && rest != "":
		r.request.Kind = mesh.Submit
		return a.readJob(ctx, r)
	default:
		return r, fasthttp.StatusMethodNotAllowed, "no such method here"
	}
	return r, 0, ""
}

// readJob decodes the job of a submission. Its results are those of readRequest.
func (a *Agent) readJob(ctx *fasthttp.RequestCtx, r *callerRequest) (*callerRequest, int, string) {
	job, err := platform.DecodeJob(ctx.PostBody())
	if err != nil {
		return r, fasthttp.StatusBadRequest, err.Error()
	}
	job.ID, job.Queue, job.Pool, job.Team = r.request.ID, r.queue.Name, r.queue.Pool, r.request.Team
	job.AcceptedMs, job.Terms = time.Now().UnixMilli(), r.queue.Terms()
	value, err := work.Encode(job)
	if err != nil {
		a.log.Error("job cannot be encoded", zap.Error(err))
		return r, fasthttp.StatusInternalServerError, "job cannot be encoded"
	}
	record := platform.Record{Key: string(job.ID), Value: value}
	if limit := a.settings.Store.RecordBytes; limit > 0 && record.ContentBytes() > limit {
		return r, fasthttp.StatusRequestEntityTooLarge, fmt.Sprintf("job takes %d bytes in the store, which takes %d in a record", record.ContentBytes(), limit)
	}
	r.request.Job = value
	return r, 0, ""
}

// hostOf returns the Host header without the port.
func hostOf(ctx *fasthttp.RequestCtx) string {
	host := string(ctx.Host())
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		return host[:at]
	}
	return host
}

// callerTimeout is how long the caller waits for a response, by its header or else by default.
func callerTimeout(ctx *fasthttp.RequestCtx) time.Duration {
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(platform.DeadlineHeader))); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultCallerTimeout
}
