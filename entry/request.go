package entry

import (
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/admit"
	"lavenderwing.example/lavenderwing/fleet"
)

// Bounds and format of callers' headers.
const (
	maxRequestIDBytes = 128
	maxTimeout        = time.Hour
	bearerPrefix      = "Bearer "
)

// request is a validated caller's request.
type request struct {
	id         string
	uuid       uuid.UUID
	queue      queueConfig
	key        string
	secret     string
	team       admit.TeamID
	teamName   string
	idempotent bool
	arrivedAt  time.Time
	deadline   time.Time
}

// parseRequest validates a caller's request against the configuration.
func (n *Node) parseRequest(ctx *fasthttp.RequestCtx, now time.Time) (request, *refusal) {
	name, _ := ctx.UserValue("queue").(string)
	queue, ok := n.view().queues[name]
	if !ok {
		return request{}, notRun(fasthttp.StatusNotFound, "noSuchQueue", "there is no queue of this name")
	}
	r := request{queue: queue, arrivedAt: now}
	if refused := r.readID(ctx); refused != nil {
		return r, refused
	}
	if refused := r.setDeadline(ctx); refused != nil {
		return r, refused
	}
	if refused := r.readKey(ctx); refused != nil {
		return r, refused
	}
	return r, n.authorize(&r)
}

// readID reads the request's identifier, which is required of non-idempotent requests.
func (r *request) readID(ctx *fasthttp.RequestCtx) *refusal {
	r.idempotent = string(ctx.Request.Header.Peek(HeaderIdempotent)) == "true"
	r.id = string(ctx.Request.Header.Peek(HeaderRequestID))
	if len(r.id) > maxRequestIDBytes {
		return notRun(fasthttp.StatusBadRequest, "badRequestId", "the Request-Id is too long")
	}
	if r.idempotent {
		if r.id == "" {
			r.id = uuid.Must(uuid.NewV7()).String()
		}
		return nil
	}
	id, err := uuid.Parse(r.id)
	if err != nil || id.Version() != 7 {
		return notRun(fasthttp.StatusBadRequest, "badRequestId",
			"a request that is not idempotent needs a version 7 UUID as Request-Id, the same for each repeat")
	}
	r.uuid = id
	r.id = id.String()
	return nil
}

// setDeadline sets the deadline to the queue's maximum wait plus its run limit after the arrival, or earlier if the caller waits for less time.
func (r *request) setDeadline(ctx *fasthttp.RequestCtx) *refusal {
	timeout := r.queue.MaxWait() + r.queue.runLimit
	if text := ctx.Request.Header.Peek(HeaderTimeout); len(text) > 0 {
		ms, err := fasthttp.ParseUint(text)
		if err != nil || ms < 1 || time.Duration(ms)*time.Millisecond > maxTimeout {
			return notRun(fasthttp.StatusBadRequest, "badTimeout", "Timeout-Ms is not a number of milliseconds up to one hour")
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	r.deadline = r.arrivedAt.Add(timeout)
	return nil
}

func (r *request) readKey(ctx *fasthttp.RequestCtx) *refusal {
	text, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), bearerPrefix)
	if !ok {
		if r.queue.Open {
			return nil
		}
		return notRun(fasthttp.StatusUnauthorized, "noKey", "this queue needs a key as bearer token")
	}
	r.key, r.secret, ok = fleet.SplitKey(text)
	if !ok {
		return notRun(fasthttp.StatusUnauthorized, "badKey", "the key is not in force")
	}
	return nil
}

// authorize sets the request's team from its key. It is called again before each send, because the key may have been withdrawn in the meantime.
func (n *Node) authorize(r *request) *refusal {
	if r.key == "" {
		r.teamName = openTeam
		r.team, _ = n.openTeamID()
		return nil
	}
	key, ok := n.view().keys[r.key]
	if !ok || key.Withdrawn || !key.Matches(r.secret) {
		return notRun(fasthttp.StatusUnauthorized, "badKey", "the key is not in force")
	}
	if !n.trustsKeys(n.clock.Now()) {
		return notRun(fasthttp.StatusServiceUnavailable, "isolated",
			"this entry process has heard nothing of the configuration for too long to trust keys").withRetry(time.Second)
	}
	r.teamName = key.Team
	r.team = key.team
	return nil
}

func (n *Node) openTeamID() (admit.TeamID, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.admission.TeamID(openTeam)
}
