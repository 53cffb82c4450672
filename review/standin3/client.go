//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// timeBudget is how long a client waits for a response.
const timeBudget = 3 * time.Second

// client is a consumer with a channel of its own.
type client struct {
	b    *bench
	name string
	key  string
	http *http.Client
}

func (b *bench) client(name, key string) *client {
	return &client{b: b, name: name, key: key, http: &http.Client{Timeout: timeBudget, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// call sends a request for a job to a node; the status is 0 without a response.
func (c *client) call(n *node, method, id, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+n.front()+"/puxa400/"+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "pule25.example"
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeBudget.Milliseconds()))
	if method != http.MethodGet {
		c.b.record("%s sends %s %s to %s", c.name, method, id, n.name)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.b.record("%s gets no answer to %s %s from %s: %v", c.name, method, id, n.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	c.b.record("%s gets %d %s to %s %s from %s", c.name, response.StatusCode, strings.TrimSpace(string(text)), method, id, n.name)
	return response.StatusCode, string(text)
}

// state returns the state of a job as any of the nodes shows it, or an empty text.
func (c *client) state(id string, nodes ...*node) string {
	for _, n := range nodes {
		status, text := c.call(n, http.MethodGet, id, "")
		var s struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &s) == nil {
			return s.State
		}
	}
	return ""
}

// submit hands a job in until it is accepted, at one node after the other.
func (c *client) submit(id, body string, nodes ...*node) error {
	for range 20 {
		for _, n := range nodes {
			if status, _ := c.call(n, http.MethodPost, id, body); status/100 == 2 {
				return nil
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return fmt.Errorf("job %s was not accepted", id)
}
