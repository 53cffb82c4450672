package logapi

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

// Paths of the platform's HTTP API; package fake serves the same paths.
const (
	StreamsPath = "/v1/streams/"
	RecordsPath = "/records"
	HostsPath   = "/v1/hosts"
)

// callTimeout bounds one call to the platform. A read that waits for entries gets its waiting time in addition.
const callTimeout = 5 * time.Second

// AppendReply is the response body of an append.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// Client calls the HTTP API of the platform.
type Client struct {
	baseURL string
	http    *fasthttp.Client

	mu sync.Mutex
	// etag and cachedHosts belong to the last host list received. The client sends the etag with each request, and the
	// platform answers with status 304 and no list as long as the list is unchanged.
	etag        string
	cachedHosts []HostStatus
}

// Option configures a Client.
type Option func(*Client)

// WithSourceIP sets the local IP address from which connections are opened.
func WithSourceIP(ip net.IP) Option {
	return func(c *Client) {
		dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}, Timeout: callTimeout}
		c.http.Dial = func(addr string) (net.Conn, error) { return dialer.Dial("tcp", addr) }
	}
}

// NewClient returns a client of the platform at the given host:port.
func NewClient(address string, opts ...Option) *Client {
	c := &Client{baseURL: "http://" + address, http: &fasthttp.Client{
		Name:                "lavenderwing",
		RetryIf:             func(*fasthttp.Request) bool { return false },
		MaxIdleConnDuration: callTimeout,
	}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	var reply AppendReply
	uri := c.baseURL + StreamsPath + url.PathEscape(stream) + RecordsPath
	if err := c.call(ctx, fasthttp.MethodPost, uri, data, callTimeout, &reply); err != nil {
		return 0, err
	}
	return reply.Offset, nil
}

// Read implements Log; it returns an *OffsetOutOfRangeError if the log no longer keeps the offset.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatInt(from, 10))
	query.Set("waitMs", strconv.FormatInt(wait.Milliseconds(), 10))
	uri := c.baseURL + StreamsPath + url.PathEscape(stream) + RecordsPath + "?" + query.Encode()
	var page Page
	if err := c.call(ctx, fasthttp.MethodGet, uri, nil, callTimeout+wait, &page); err != nil {
		return Page{}, err
	}
	if from < page.First {
		return page, &OffsetOutOfRangeError{Stream: stream, From: from, First: page.First}
	}
	return page, nil
}

// Hosts implements HostList.
func (c *Client) Hosts(ctx context.Context) ([]HostStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.send(ctx, fasthttp.MethodGet, c.baseURL+HostsPath, nil, c.etag, callTimeout, resp); err != nil {
		return nil, err
	}
	if resp.StatusCode() == fasthttp.StatusNotModified {
		return c.cachedHosts, nil
	}
	var hosts []HostStatus
	if err := decodeReply(HostsPath, resp, &hosts); err != nil {
		return nil, err
	}
	c.cachedHosts = hosts
	c.etag = string(resp.Header.Peek(fasthttp.HeaderETag))
	return hosts, nil
}

func (c *Client) call(ctx context.Context, method, uri string, body []byte, timeout time.Duration, reply any) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.send(ctx, method, uri, body, "", timeout, resp); err != nil {
		return err
	}
	return decodeReply(method+" "+uri, resp, reply)
}

// send makes one call; if etag is not empty, the platform answers with status 304 while the resource is unchanged.
func (c *Client) send(ctx context.Context, method, uri string, body []byte, etag string, timeout time.Duration, resp *fasthttp.Response) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.SetBodyRaw(body)
	if etag != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, etag)
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return &CallError{Operation: method + " " + uri, Cause: err}
	}
	return nil
}

// decodeReply decodes the body of a successful response.
func decodeReply(operation string, resp *fasthttp.Response, reply any) error {
	if resp.StatusCode() != fasthttp.StatusOK {
		return &CallError{Operation: operation, Status: resp.StatusCode()}
	}
	if err := json.Unmarshal(resp.Body(), reply); err != nil {
		return &CallError{Operation: operation, Cause: err}
	}
	return nil
}
