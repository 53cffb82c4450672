package change

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/record"
)

// callTimeout bounds one call to an entry process.
const callTimeout = 15 * time.Second

// HTTPClient calls the operators' HTTP API of an entry process.
type HTTPClient struct {
	address  string
	operator string
	token    string
}

// NewHTTPClient returns a client that calls the entry process at the address on behalf of the given operator.
func NewHTTPClient(address, operator, token string) *HTTPClient {
	return &HTTPClient{address: address, operator: operator, token: token}
}

// Tables implements Client.
func (c *HTTPClient) Tables() (entry.TablesReply, error) {
	var reply entry.TablesReply
	err := c.Get(entry.TablesPath, &reply)
	return reply, err
}

// Apply implements Client.
func (c *HTTPClient) Apply(change record.Change) (entry.ChangeReply, error) {
	return c.apply(entry.ChangesPath, change)
}

func (c *HTTPClient) apply(path string, change record.Change) (entry.ChangeReply, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return entry.ChangeReply{}, trace.Wrap(err)
	}
	var reply entry.ChangeReply
	err = c.call(fasthttp.MethodPost, path, body, &reply)
	return reply, err
}

// Get reads the resource at the path and decodes it into reply.
func (c *HTTPClient) Get(path string, reply any) error {
	return c.call(fasthttp.MethodGet, path, nil, reply)
}

func (c *HTTPClient) call(method, path string, body []byte, reply any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + path)
	req.Header.Set(entry.HeaderOperator, c.operator)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	req.SetBodyRaw(body)
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return trace.Wrap(err, "calling %s at %s", path, c.address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return newCallError(resp)
	}
	return trace.Wrap(json.Unmarshal(resp.Body(), reply), "decoding the reply of %s", c.address)
}

func newCallError(resp *fasthttp.Response) error {
	var reply entry.ErrorReply
	if err := json.Unmarshal(resp.Body(), &reply); err != nil {
		reply.Message = string(resp.Body())
	}
	return &CallError{Status: resp.StatusCode(), Message: reply.Message, Reasons: reply.Reasons, ChangedBy: reply.Winner}
}
