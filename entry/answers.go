package entry

import (
	"errors"
	"strings"

	"github.com/google/uuid"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/claim"
	"lavenderwing.example/lavenderwing/peer"
)

// Bounds of the answers that are kept for repeats of requests that must not run twice.
const (
	answersKept = 1024
	// answerSize is the largest body kept, in bytes.
	answerSize = 8 << 10
)

// HeaderRepeated marks an answer that an earlier request with the same identifier received.
const HeaderRepeated = "Repeated"

// writerSeparator stands between the seat and the incarnation in a writer's identifier.
const writerSeparator = "/"

// writerOf returns the identifier under which a process writes to the log, from which its seat can be read.
func writerOf(seat, incarnation string) string { return seat + writerSeparator + incarnation }

func seatOf(writer string) string {
	seat, _, _ := strings.Cut(writer, writerSeparator)
	return seat
}

// answers keeps the newest answers to requests that must not run twice.
type answers struct {
	cache *lru.Cache[uuid.UUID, peer.AnswerReply]
}

func newAnswers() answers {
	// The size is a positive constant, which is all that the call can object to.
	cache, _ := lru.New[uuid.UUID, peer.AnswerReply](answersKept)
	return answers{cache: cache}
}

// keep remembers an answer unless it is too large.
func (a answers) keep(r *request, resp *fasthttp.Response) {
	if len(resp.Body()) > answerSize {
		return
	}
	a.cache.Add(r.uuid, peer.AnswerReply{
		Found:       true,
		Team:        r.teamName,
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	})
}

// Answer answers another entry process that was asked to repeat a request.
func (n *Node) Answer(args peer.AnswerArgs) peer.AnswerReply {
	a, _ := n.answers.cache.Get(args.Request)
	if a.Team != args.Team {
		// A caller never receives the answer to another team's request.
		return peer.AnswerReply{}
	}
	return a
}

// repeat gives the caller the answer to the earlier request if the process that sent it still has it, and returns false otherwise.
func (n *Node) repeat(ctx *fasthttp.RequestCtx, r *request, err error) bool {
	var taken *claim.AlreadyClaimedError
	if !errors.As(err, &taken) {
		return false
	}
	args := peer.AnswerArgs{Request: r.uuid, Team: r.teamName}
	a := n.Answer(args)
	if seat := seatOf(taken.Winner); seat != n.settings.Seat {
		// Without an answer from the peer, the outcome stays unknown.
		a, _ = n.peers.Answer(seat, args, answerWait)
	}
	if !a.Found {
		return false
	}
	ctx.SetStatusCode(a.Status)
	ctx.SetContentType(a.ContentType)
	ctx.SetBody(a.Body)
	ctx.Response.Header.Set(HeaderRepeated, "true")
	markAnswered(ctx, r)
	return true
}
