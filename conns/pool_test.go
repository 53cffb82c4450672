package conns

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// startTarget starts a target that answers the requests of the n-th connection with the n-th function, and uses the
// last function for all further connections.
func startTarget(t *testing.T, answers ...func(c net.Conn, attempt string)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c, answers[min(n, len(answers)-1)])
		}
	}()
	return l.Addr().String()
}

func serveConn(c net.Conn, answer func(c net.Conn, attempt string)) {
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		answer(c, string(req.Header.Peek(HeaderAttempt)))
	}
}

func writeAnswer(c net.Conn, attempt string) {
	body := "answer to " + attempt
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
}

func sendRequest(p *Pool, attempt string) (Outcome, string, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://target/")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString("work")
	outcome, err := p.Do(time.Now().Add(10*time.Second), attempt, &req, &resp)
	return outcome, string(resp.Body()), err
}

// TestOutcomes checks the outcome of each kind of answer. If an attempt that may have run counted as refused or not
// sent, the request could run twice; if an incomplete answer or that of another request counted as answered, the caller
// would get a wrong answer.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(c net.Conn, attempt string)
		want   Outcome
	}{
		"complete answer":           {writeAnswer, Answered},
		"answer to another request": {func(c net.Conn, _ string) { writeAnswer(c, "other") }, Unknown},
		"answer cut short": {func(c net.Conn, attempt string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: 10\r\n\r\nhalf", attempt)
			_ = c.Close()
		}, Unknown},
		"answer without a length": {func(c net.Conn, attempt string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\n\r\nhalf", attempt)
			_ = c.Close()
		}, Unknown},
		"closed without an answer": {func(c net.Conn, _ string) { _ = c.Close() }, Unknown},
		"refused by the target": {func(c net.Conn, attempt string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nAttempt: %s\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n", attempt)
		}, Refused},
		"refusal meant for another request": {func(c net.Conn, _ string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nAttempt: other\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n")
		}, Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			outcome, body, err := sendRequest(NewPool(startTarget(t, c.answer)), "one")
			is.Equal(outcome, c.want)
			is.Equal(err == nil, c.want == Answered || c.want == Refused)
			if c.want == Answered {
				is.Equal(body, "answer to one")
			}
		})
	}
}

// TestRefusedDialIsNotSent checks that a refused connection gives the outcome NotSent, which allows the request to be sent to another target.
func TestRefusedDialIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	outcome, _, err := sendRequest(NewPool(l.Addr().String()), "one")
	is.Equal(outcome, NotSent)
	is.True(err != nil)
}

// awaitIdleConnUnusable waits until the idle connection, if there is one, is closed or holds unread bytes.
func awaitIdleConnUnusable(p *Pool) {
	for len(p.idleConns) > 0 && p.idleConns[0].isReusable() {
		time.Sleep(time.Millisecond)
	}
}

// TestAnswerOfAnotherAttemptIsNeverReturned covers a target that answers each request twice, so that the second answer
// may arrive just after the next request was sent on the connection. The outcome of that request may then be unknown,
// but its caller must never get the answer to another attempt.
func TestAnswerOfAnotherAttemptIsNeverReturned(t *testing.T) {
	answerTwice := func(c net.Conn, attempt string) {
		writeAnswer(c, attempt)
		writeAnswer(c, "late")
	}
	p := NewPool(startTarget(t, answerTwice))
	for i := range 200 {
		attempt := fmt.Sprint(i)
		outcome, body, _ := sendRequest(p, attempt)
		if outcome == Answered && body != "answer to "+attempt {
			t.Fatalf("attempt %s was answered with %q", attempt, body)
		}
	}
}

// TestConnectionWithUnreadBytesIsNotReused covers a second answer to the first request, which arrives while the
// connection is idle. If the second request used that connection, it would read this answer as its own.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	answerTwice := func(c net.Conn, attempt string) {
		writeAnswer(c, attempt)
		writeAnswer(c, "late")
	}
	p := NewPool(startTarget(t, answerTwice, writeAnswer))
	outcome, _, _ := sendRequest(p, "one")
	is.Equal(outcome, Answered)
	awaitIdleConnUnusable(p)
	outcome, body, _ := sendRequest(p, "two")
	is.Equal(outcome, Answered)
	is.Equal(body, "answer to two")
}

// TestClosedIdleConnectionIsNotReused covers an idle connection that the target has closed: a request sent on it would have an unknown outcome.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	answerAndClose := func(c net.Conn, attempt string) {
		writeAnswer(c, attempt)
		_ = c.(*net.TCPConn).CloseWrite()
		close(closed)
	}
	p := NewPool(startTarget(t, answerAndClose, writeAnswer))
	outcome, _, _ := sendRequest(p, "one")
	is.Equal(outcome, Answered)
	<-closed
	awaitIdleConnUnusable(p)
	outcome, _, _ = sendRequest(p, "two")
	is.Equal(outcome, Answered)
}

// TestMismatchNamesBothAttempts checks that the error for a crossed answer names both attempts, so that it can be
// traced to the request that the answer belongs to.
func TestMismatchNamesBothAttempts(t *testing.T) {
	is := is.New(t)
	_, _, err := sendRequest(NewPool(startTarget(t, func(c net.Conn, _ string) { writeAnswer(c, "other") })), "one")
	var mismatch *AttemptMismatchError
	is.True(errors.As(err, &mismatch))
	is.Equal(*mismatch, AttemptMismatchError{Want: "one", Got: "other"})
}
