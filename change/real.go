package change

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/record"
)

const callTimeout = 15 * time.Second

// RealSystem calls the HTTP API of an entry process.
type RealSystem struct {
	address  string
	operator string
	token    string
}

// NewReal returns a system that calls the entry process at the address on behalf of the given operator.
func NewReal(address, operator, token string) *RealSystem {
	return &RealSystem{address: address, operator: operator, token: token}
}

// Tables implements System.
func (s *RealSystem) Tables() (entry.TablesReply, error) {
	var reply entry.TablesReply
	err := s.Get(entry.TablesPath, &reply)
	return reply, err
}

// Apply implements System.
func (s *RealSystem) Apply(c record.Change) (entry.ChangeReply, error) {
	return s.apply(entry.ChangesPath, c)
}

func (s *RealSystem) apply(path string, c record.Change) (entry.ChangeReply, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return entry.ChangeReply{}, trace.Wrap(err)
	}
	var reply entry.ChangeReply
	err = s.call(fasthttp.MethodPost, path, body, &reply)
	return reply, err
}

// Get reads a resource of the operators' API and decodes it into reply.
func (s *RealSystem) Get(path string, reply any) error {
	return s.call(fasthttp.MethodGet, path, nil, reply)
}

func (s *RealSystem) call(method, path string, body []byte, reply any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + s.address + path)
	req.Header.Set(entry.HeaderOperator, s.operator)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+s.token)
	req.SetBodyRaw(body)
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return trace.Wrap(err, "calling %s at %s", path, s.address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return newCallError(resp)
	}
	return trace.Wrap(json.Unmarshal(resp.Body(), reply), "reading the answer of %s", s.address)
}

func newCallError(resp *fasthttp.Response) error {
	var reply entry.ErrorReply
	if err := json.Unmarshal(resp.Body(), &reply); err != nil {
		reply.Message = string(resp.Body())
	}
	return &CallError{Status: resp.StatusCode(), Message: reply.Message, Reasons: reply.Reasons, Winner: reply.Winner}
}
