//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the store, as in PROTOCOL.md and in the settings of a process.
const (
	storeLatency    = 4 * time.Millisecond
	keepTime        = 20 * time.Second
	maxRecordBytes  = 262144
	maxRequestBytes = 2097152
	maxStoredBytes  = 400 << 20
	maxPageItems    = 500
	maxPageBytes    = 1 << 20
	maxReadBytes    = 1 << 20
)

// record is a record of a keyed topic.
type record struct {
	key    string
	value  []byte
	offset int64
	at     time.Time
}

func (r *record) size() int { return 5 + len(r.key) + len(r.value) }

// producer is the state of a writer in one partition; it keeps the offsets of its last appends.
type producer struct {
	epoch   int64
	nextSeq int64
	started bool
	replies map[int64]int64
}

// partition is a partition of a keyed topic: its history and the newest record of each key.
type partition struct {
	mu      sync.Mutex
	history []*record
	end     int64
	newest  map[string]*record
	// keys holds the sorted keys of newest, nil after keys have changed.
	keys      []string
	producers map[string]*producer
	changed   chan struct{}
}

// store is the platform's store, a log on HTTP.
type store struct {
	address string
	// down makes the store reset every connection on which it gets a call.
	down   atomic.Bool
	stored atomic.Int64
	// refused counts the appends that were refused because the store was full.
	refused atomic.Int64

	mu         sync.Mutex
	partitions map[string]*partition
}

func newStore(address string) (*store, error) {
	s := &store{address: address, partitions: map[string]*partition{}}
	return s, serveHTTP(address, http.HandlerFunc(s.serve))
}

// serveHTTP serves an address until the program ends.
func serveHTTP(address string, handler http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, handler) }()
	return nil
}

// resetConnection closes the connection of a call with a reset.
func resetConnection(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	c, _, err := h.Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) partition(topic string, part int) *partition {
	name := topic + "/" + strconv.Itoa(part)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.partitions[name]
	if !ok {
		p = &partition{newest: map[string]*record{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

// put appends a record as the operator and the executors do.
func (s *store) put(topic, key string, value []byte) {
	p := s.partition("keyed."+topic, 0)
	p.mu.Lock()
	defer p.mu.Unlock()
	s.add(p, []*record{{key: key, value: value}})
}

// get returns the newest value of a key in a partition.
func (s *store) get(topic string, part int, key string) []byte {
	p := s.partition("keyed."+topic, part)
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.newest[key]; ok {
		return r.value
	}
	return nil
}

// add appends records to a partition and lets the oldest expire; the caller holds the partition's lock.
func (s *store) add(p *partition, records []*record) {
	now := time.Now()
	for _, r := range records {
		r.at, r.offset = now, p.end
		p.end++
		former := p.newest[r.key]
		if former != nil && former.at.IsZero() {
			// The former record is no longer in the history, and only its key kept it.
			s.stored.Add(int64(-former.size()))
		}
		switch {
		case len(r.value) == 0 && former != nil:
			delete(p.newest, r.key)
			p.keys = nil
		case len(r.value) > 0:
			if former == nil {
				p.keys = nil
			}
			p.newest[r.key] = r
		}
		p.history = append(p.history, r)
		s.stored.Add(int64(r.size()))
	}
	expired := 0
	for expired < len(p.history) && now.Sub(p.history[expired].at) > keepTime {
		r := p.history[expired]
		if p.newest[r.key] == r {
			r.at = time.Time{}
		} else {
			s.stored.Add(int64(-r.size()))
		}
		expired++
	}
	p.history = p.history[expired:]
	close(p.changed)
	p.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || s.down.Load() {
		resetConnection(w)
		return
	}
	q := r.URL.Query()
	part, err := strconv.Atoi(q.Get("part"))
	topic := q.Get("topic")
	if err != nil || !strings.HasPrefix(topic, "keyed.") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p := s.partition(topic, part)
	switch r.URL.Path {
	case "/log-append":
		if topic == "keyed.op" || topic == "keyed.servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.append(w, p, q.Get, body)
	case "/log-read":
		time.Sleep(storeLatency)
		s.read(w, r, p)
	case "/log-newest":
		time.Sleep(storeLatency)
		p.serveNewest(w, q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// decodeRecords decodes the body of an append; it returns false if the body is not valid.
func decodeRecords(body []byte) ([]*record, bool) {
	var records []*record
	total := 0
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		n, k := int(binary.BigEndian.Uint32(body)), int(body[4])
		if n > maxRecordBytes || n > len(body)-4 || k >= n {
			return nil, false
		}
		total += n
		records = append(records, &record{key: string(body[5 : 5+k]), value: append([]byte(nil), body[5+k:4+n]...)})
		body = body[4+n:]
	}
	return records, total <= maxRequestBytes
}

func (s *store) append(w http.ResponseWriter, p *partition, query func(string) string, body []byte) {
	records, ok := decodeRecords(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	time.Sleep(storeLatency)
	if len(records) > 0 && s.stored.Load()+int64(len(body)) > maxStoredBytes {
		s.refused.Add(1)
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	if at := query("at"); at != "" && at != strconv.FormatInt(p.end, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end_offset": p.end})
		return
	}
	if name := query("producer"); name != "" {
		epoch, _ := strconv.ParseInt(query("epoch"), 10, 64)
		seq, _ := strconv.ParseInt(query("seq"), 10, 64)
		if p.answerProducer(w, name, epoch, seq, len(records) > 0) {
			return
		}
	}
	offset := p.end
	if len(records) > 0 {
		s.add(p, records)
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": p.end})
}

// answerProducer answers an append that is fenced, out of sequence or a repeat, and reports whether it did; otherwise it notes the append.
func (p *partition) answerProducer(w http.ResponseWriter, name string, epoch, seq int64, hasRecords bool) bool {
	f := p.producers[name]
	if f == nil {
		f = &producer{}
		p.producers[name] = f
	}
	switch {
	case epoch < f.epoch:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return true
	case epoch > f.epoch:
		f.epoch, f.started, f.replies = epoch, false, map[int64]int64{}
	case f.started && seq < f.nextSeq && seq >= f.nextSeq-5:
		writeJSON(w, http.StatusOK, map[string]any{"offset": f.replies[seq], "end_offset": p.end})
		return true
	case f.started && seq != f.nextSeq:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": f.nextSeq})
		return true
	}
	if hasRecords || !f.started {
		f.started, f.nextSeq = true, seq+1
		f.replies[seq] = p.end
	}
	return false
}

func (s *store) read(w http.ResponseWriter, r *http.Request, p *partition) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for waiting := waitMs > 0; ; {
		p.mu.Lock()
		first, changed := p.end-int64(len(p.history)), p.changed
		if from < first {
			p.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"first_offset": first})
			return
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(p.end))
		body = binary.BigEndian.AppendUint64(body, uint64(first))
		found := false
		for n := from - first; n < int64(len(p.history)); n++ {
			e := p.history[n]
			if found && len(body)+e.size() > maxReadBytes {
				break
			}
			found = true
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(e.key)+len(e.value)))
			body = append(append(append(body, byte(len(e.key))), e.key...), e.value...)
		}
		p.mu.Unlock()
		if found || !waiting {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
		if s.down.Load() {
			resetConnection(w)
			return
		}
	}
}

func (p *partition) serveNewest(w http.ResponseWriter, after string) {
	p.mu.Lock()
	if p.keys == nil {
		p.keys = make([]string, 0, len(p.newest))
		for k := range p.newest {
			p.keys = append(p.keys, k)
		}
		sort.Strings(p.keys)
	}
	at := sort.Search(len(p.keys), func(n int) bool { return p.keys[n] > after })
	var page []*record
	size := 0
	for _, k := range p.keys[at:] {
		r := p.newest[k]
		if len(page) == maxPageItems || (len(page) > 0 && size+r.size() > maxPageBytes) {
			break
		}
		page = append(page, r)
		size += r.size()
	}
	more, end := at+len(page) < len(p.keys), p.end
	p.mu.Unlock()
	items := make([]map[string]any, len(page))
	for n, r := range page {
		items[n] = map[string]any{"key": r.key, "value": base64.StdEncoding.EncodeToString(r.value), "offset": r.offset}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": end})
}
