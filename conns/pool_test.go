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

// target answers the n-th connection's requests as the n-th function says, and the last function's way after that.
func target(t *testing.T, answers ...func(c net.Conn, attempt string)) string {
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
			go serve(c, answers[min(n, len(answers)-1)])
		}
	}()
	return l.Addr().String()
}

func serve(c net.Conn, answer func(c net.Conn, attempt string)) {
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		answer(c, string(req.Header.Peek(HeaderAttempt)))
	}
}

func whole(c net.Conn, attempt string) {
	body := "answer to " + attempt
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
}

func do(p *Pool, attempt string) (Outcome, string, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://target/")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString("work")
	outcome, err := p.Do(time.Now().Add(10*time.Second), attempt, &req, &resp)
	return outcome, string(resp.Body()), err
}

func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(c net.Conn, attempt string)
		want   Outcome
	}{
		"whole answer":              {whole, Answered},
		"answer to another request": {func(c net.Conn, _ string) { whole(c, "other") }, Unknown},
		"answer cut short": {func(c net.Conn, attempt string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: 10\r\n\r\nhalf", attempt)
			_ = c.Close()
		}, Unknown},
		"answer without an end": {func(c net.Conn, attempt string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\n\r\nhalf", attempt)
			_ = c.Close()
		}, Unknown},
		"closed without an answer": {func(c net.Conn, _ string) { _ = c.Close() }, Unknown},
		"refused by its own word": {func(c net.Conn, attempt string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nAttempt: %s\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n", attempt)
		}, Refused},
		"refusal meant for another request": {func(c net.Conn, _ string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nAttempt: other\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n")
		}, Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			outcome, body, err := do(New(target(t, c.answer)), "one")
			is.Equal(outcome, c.want)
			is.Equal(err == nil, c.want == Answered || c.want == Refused)
			if c.want == Answered {
				is.Equal(body, "answer to one")
			}
		})
	}
}

func TestNobodyListens(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	outcome, _, err := do(New(l.Addr().String()), "one")
	is.Equal(outcome, NotSent)
	is.True(err != nil)
}

// awaitNoise waits until the idle connection, if there is one, is closed or holds bytes that nobody asked for.
func awaitNoise(p *Pool) {
	for len(p.idle) > 0 && p.idle[0].quiet() {
		time.Sleep(time.Millisecond)
	}
}

// TestAnswerOfAnotherTryIsNeverGiven lets late answers race with the next request, whose outcome may then be unknown but never another's answer.
func TestAnswerOfAnotherTryIsNeverGiven(t *testing.T) {
	late := func(c net.Conn, attempt string) {
		whole(c, attempt)
		whole(c, "late")
	}
	p := New(target(t, late))
	for i := range 200 {
		attempt := fmt.Sprint(i)
		outcome, body, _ := do(p, attempt)
		if outcome == Answered && body != "answer to "+attempt {
			t.Fatalf("try %s was answered with %q", attempt, body)
		}
	}
}

// TestLateAnswerIsDropped lets the answer to the first request arrive after its end, on the connection that the second would reuse.
func TestLateAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	late := func(c net.Conn, attempt string) {
		whole(c, attempt)
		whole(c, "late")
	}
	p := New(target(t, late, whole))
	outcome, _, _ := do(p, "one")
	is.Equal(outcome, Answered)
	awaitNoise(p)
	outcome, body, _ := do(p, "two")
	is.Equal(outcome, Answered)
	is.Equal(body, "answer to two")
}

// TestClosedIdleConnectionIsNotUsed covers a target that closed an idle connection: a request sent on it would have an unknown outcome.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	once := func(c net.Conn, attempt string) {
		whole(c, attempt)
		_ = c.(*net.TCPConn).CloseWrite()
		close(closed)
	}
	p := New(target(t, once, whole))
	outcome, _, _ := do(p, "one")
	is.Equal(outcome, Answered)
	<-closed
	awaitNoise(p)
	outcome, _, _ = do(p, "two")
	is.Equal(outcome, Answered)
}

func TestMismatchNamesBothTries(t *testing.T) {
	is := is.New(t)
	_, _, err := do(New(target(t, func(c net.Conn, _ string) { whole(c, "other") })), "one")
	var mismatch *MismatchError
	is.True(errors.As(err, &mismatch))
	is.Equal(*mismatch, MismatchError{Want: "one", Got: "other"})
}
