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

// Bounds of the answers that are kept for repeated non-idempotent requests.
const (
	maxCachedAnswers   = 1024
	maxCachedBodyBytes = 8 << 10
)

// HeaderRepeated marks the answer to an earlier request with the same identifier.
const HeaderRepeated = "Repeated"

// writerSeparator separates seat and incarnation in a writer's identifier.
const writerSeparator = "/"

// formatWriterID returns the identifier under which a process writes to the log. It contains the seat, so that peers can ask the writer of a claim for its answer.
func formatWriterID(seat, incarnation string) string { return seat + writerSeparator + incarnation }

// seatOfWriter returns the seat in a writer's identifier.
func seatOfWriter(writer string) string {
	seat, _, _ := strings.Cut(writer, writerSeparator)
	return seat
}

// answerCache keeps the most recently used answers to non-idempotent requests.
type answerCache struct {
	cache *lru.Cache[uuid.UUID, peer.AnswerReply]
}

func newAnswerCache() answerCache {
	// New fails only if the size is not positive.
	cache, _ := lru.New[uuid.UUID, peer.AnswerReply](maxCachedAnswers)
	return answerCache{cache: cache}
}

// add stores an answer unless its body is too large.
func (a answerCache) add(r *request, resp *fasthttp.Response) {
	if len(resp.Body()) > maxCachedBodyBytes {
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

// Answer returns the kept answer to a request that was repeated at another entry process.
func (n *Node) Answer(args peer.AnswerArgs) peer.AnswerReply {
	a, _ := n.answers.cache.Get(args.Request)
	if a.Team != args.Team {
		// A caller never receives the answer to another team's request.
		return peer.AnswerReply{}
	}
	return a
}

// replayAnswer replies with the kept answer to the earlier request with this identifier. It reports whether the process that sent the earlier request still had the answer.
func (n *Node) replayAnswer(ctx *fasthttp.RequestCtx, r *request, err error) bool {
	var taken *claim.AlreadyClaimedError
	if !errors.As(err, &taken) {
		return false
	}
	args := peer.AnswerArgs{Request: r.uuid, Team: r.teamName}
	a := n.Answer(args)
	if seat := seatOfWriter(taken.Winner); seat != n.settings.Seat {
		// If the call fails, no answer is found and the outcome stays unknown.
		a, _ = n.peers.Answer(seat, args, peerTimeout)
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
