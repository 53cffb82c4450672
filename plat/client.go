package plat

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Paths of the platform's HTTP interface, as the stand-in serves it.
const (
	StreamsPath = "/v1/streams/"
	RecordsPath = "/records"
	HostsPath   = "/v1/hosts"
)

// callTimeout bounds one call to the platform besides the wait that it asks for.
const callTimeout = 5 * time.Second

// AppendReply is the platform's answer to an append.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// Client speaks the platform's HTTP interface.
type Client struct {
	base string
	http *fasthttp.Client

	mu sync.Mutex
	// tag and hosts are the newest host list, so that an unchanged one is not sent again.
	tag   string
	hosts []HostStatus
}

// Option changes how a Client is built.
type Option func(*Client)

// WithSource makes the client send from the given local IP address.
func WithSource(ip net.IP) Option {
	return func(c *Client) {
		dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}, Timeout: callTimeout}
		c.http.Dial = func(addr string) (net.Conn, error) { return dialer.Dial("tcp", addr) }
	}
}

// New returns a client of the platform at the given host:port.
func New(address string, opts ...Option) *Client {
	c := &Client{base: "http://" + address, http: &fasthttp.Client{
		Name:                "lavenderwing",
		RetryIf:             func(*fasthttp.Request) bool { return false },
		MaxIdleConnDuration: callTimeout,
	}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Append adds data to a stream.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	var reply AppendReply
	uri := c.base + StreamsPath + url.PathEscape(stream) + RecordsPath
	if err := c.call(ctx, fasthttp.MethodPost, uri, data, callTimeout, &reply); err != nil {
		return 0, err
	}
	return reply.Offset, nil
}

// Read returns the entries of a stream from an offset on.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatInt(from, 10))
	query.Set("waitMs", strconv.FormatInt(wait.Milliseconds(), 10))
	uri := c.base + StreamsPath + url.PathEscape(stream) + RecordsPath + "?" + query.Encode()
	var page Page
	if err := c.call(ctx, fasthttp.MethodGet, uri, nil, callTimeout+wait, &page); err != nil {
		return Page{}, err
	}
	if from < page.First {
		return page, &LostError{Stream: stream, From: from, First: page.First}
	}
	return page, nil
}

// Hosts returns the platform's host list.
func (c *Client) Hosts(ctx context.Context) ([]HostStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.do(ctx, fasthttp.MethodGet, c.base+HostsPath, nil, c.tag, callTimeout, resp); err != nil {
		return nil, err
	}
	if resp.StatusCode() == fasthttp.StatusNotModified {
		return c.hosts, nil
	}
	var hosts []HostStatus
	if err := read(HostsPath, resp, &hosts); err != nil {
		return nil, err
	}
	c.hosts = hosts
	c.tag = string(resp.Header.Peek(fasthttp.HeaderETag))
	return hosts, nil
}

func (c *Client) call(ctx context.Context, method, uri string, body []byte, timeout time.Duration, reply any) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.do(ctx, method, uri, body, "", timeout, resp); err != nil {
		return err
	}
	return read(method+" "+uri, resp, reply)
}

// do makes one call; with a tag, the answer may be that nothing changed since.
func (c *Client) do(ctx context.Context, method, uri string, body []byte, tag string, timeout time.Duration, resp *fasthttp.Response) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.SetBodyRaw(body)
	if tag != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, tag)
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return &OutageError{Operation: method + " " + uri, Cause: err}
	}
	return nil
}

// read takes the reply out of a successful answer.
func read(operation string, resp *fasthttp.Response, reply any) error {
	if resp.StatusCode() != fasthttp.StatusOK {
		return &OutageError{Operation: operation, Status: resp.StatusCode()}
	}
	if err := json.Unmarshal(resp.Body(), reply); err != nil {
		return &OutageError{Operation: operation, Cause: err}
	}
	return nil
}
