package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is how long the store takes for a call, as the sheet says.
const answerTime = 4 * time.Millisecond

// repeatWindow is the number of a producer's last appends that it may repeat.
const repeatWindow = 5

// store is a stand-in of the platform's store. It keeps everything in memory.
type store struct {
	mu    sync.Mutex
	era   int
	away  bool
	parts map[string]*part
}

// part is one partition of a topic.
type part struct {
	records [][]byte
	// first is the first offset that can be read.
	first     int
	producers map[string]producer
	changed   chan struct{}
}

// producer is what the store knows of a writer: its epoch, its last number and the first
// responses to its last appends, by number.
type producer struct {
	epoch, number int64
	answers       map[int64][2]int
}

func newPart() *part {
	return &part{producers: make(map[string]producer), changed: make(chan struct{})}
}

// part returns a partition. s.mu must be held.
func (s *store) part(topic, index string) *part {
	if s.parts == nil {
		s.parts = make(map[string]*part)
	}
	id := topic + "/" + index
	if s.parts[id] == nil {
		s.parts[id] = newPart()
	}
	return s.parts[id]
}

// serve serves on the listener until it is closed.
func (s *store) serve(l net.Listener) {
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	_ = server.Serve(l) // The listener is closed at the end.
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler) // The connection is reset; nothing was done.
	}
	w.Header().Set(name("era"), strconv.Itoa(era))
	switch r.URL.Path {
	case name("append"):
		s.append(w, r, body)
	case name("read"):
		s.read(w, r)
	case name("newest"):
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body map[string]any) {
	data, _ := json.Marshal(body) // The values are numbers, texts and lists.
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // The caller may have left.
}

// append appends the records of a call.
func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	topic := q.Get("topic")
	records := split(body)
	s.mu.Lock()
	p := s.part(topic, q.Get("part"))
	id := q.Get(name("producer"))
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	number, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
	if id != "" {
		known, ok := p.producers[id]
		first, repeated := known.answers[number]
		switch {
		case ok && epoch < known.epoch:
			s.mu.Unlock()
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case ok && epoch == known.epoch && repeated:
			s.mu.Unlock()
			reply(w, http.StatusOK, map[string]any{"offset": first[0], name("end"): first[1]})
			return
		case ok && epoch == known.epoch && number != known.number+1:
			s.mu.Unlock()
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": known.number + 1})
			return
		}
		answers := make(map[int64][2]int)
		if ok && epoch == known.epoch {
			maps.Copy(answers, known.answers)
			delete(answers, number-repeatWindow)
		}
		answers[number] = [2]int{len(p.records), len(p.records) + len(records)}
		p.producers[id] = producer{epoch: epoch, number: number, answers: answers}
	}
	offset := len(p.records)
	p.add(records...)
	end := len(p.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"offset": offset, name("end"): end})
}

// add adds records and wakes the reads that wait.
func (p *part) add(records ...[]byte) {
	p.records = append(p.records, records...)
	close(p.changed)
	p.changed = make(chan struct{})
}

// split splits the body of an append into records.
func split(body []byte) (records [][]byte) {
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			return records
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records
}

// read answers with the records from an offset on. It waits for the first one.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get(name("wait")))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		away, changed, records, first := s.away, p.changed, p.records, p.first
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		if from < first || from > len(records) {
			reply(w, http.StatusGone, map[string]any{name("start"): first})
			return
		}
		if from < len(records) || !await(r.Context(), changed, timeout) {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, uint64(first))
			for _, record := range records[from:] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
				body = append(body, record...)
			}
			_, _ = w.Write(body) // The caller may have left.
			return
		}
	}
}

// await reports whether something changed before the time was over.
func await(ctx context.Context, changed <-chan struct{}, timeout <-chan time.Time) bool {
	select {
	case <-changed:
		return true
	case <-timeout:
		return false
	case <-ctx.Done():
		return false
	}
}

// newest answers with the newest record of each key. All keys fit into one page.
func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	found := p.byKey()
	end := len(p.records)
	s.mu.Unlock()
	entries := make([]map[string]any, 0, len(found))
	for _, key := range slices.Sorted(maps.Keys(found)) {
		if key > q.Get("after") {
			e := found[key]
			entries = append(entries, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(e.value), "offset": e.offset})
		}
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, name("more"): false, name("end"): end})
}

// entry is the newest record of a key.
type entry struct {
	value  []byte
	offset int
}

// byKey returns the newest record of each key.
func (p *part) byKey() map[string]entry {
	found := make(map[string]entry)
	for i, record := range p.records {
		if len(record) == 0 || len(record) < 1+int(record[0]) {
			continue
		}
		key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		delete(found, key)
		if len(value) > 0 {
			found[key] = entry{value, i}
		}
	}
	return found
}

// put writes a record of the operator or of a replica.
func (s *store) put(topic, key, value string) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add(append(record, value...))
}

// image is a copy of the store.
type image map[string]*part

// copy returns a copy of the store as it is now.
func (s *store) copy() image {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(image)
	for id, p := range s.parts {
		copied[id] = &part{records: slices.Clone(p.records), first: p.first, producers: maps.Clone(p.producers)}
	}
	return copied
}

// forget drops the history of all topics. The newest record of each key stays.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.parts {
		p.first = len(p.records)
	}
}

// setAway takes the store away: its connections are reset, and nothing is done.
func (s *store) setAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for _, p := range s.parts {
		p.add() // Ends the reads that wait.
	}
}

// restore brings the store back from a copy. What the operator and the replicas wrote since is
// written again at once.
func (s *store) restore(from image) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.parts {
		topic, _, _ := strings.Cut(id, "/")
		var again [][]byte
		if topic == name("operator") || topic == name("servers") {
			for key, e := range p.byKey() {
				again = append(again, append(append([]byte{byte(len(key))}, key...), e.value...))
			}
		}
		old := from[id]
		if old == nil {
			old = newPart()
		}
		p.records, p.first, p.producers = slices.Clone(old.records), old.first, maps.Clone(old.producers)
		p.add(again...)
	}
	s.era++
	s.away = false
}
