// Package tally reads the structured log lines of many instances, and counts what became of
// their requests: by reason, route, organisation, instance, target or time. Its memory does not
// grow with the size of the logs.
package tally

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"
)

// maxLine bounds a log line, in bytes. Longer ones count as broken.
const maxLine = 1 << 20

// ended is the message of the line that each request ends with.
const ended = "request ended"

// Line is a log line of an instance. Fields that the line lacks are empty.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	// Source is what precedes the line's JSON object, or the name of its file if nothing does.
	Source       string   `json:"-"`
	RequestID    string   `json:"request-id"`
	Outcome      string   `json:"outcome"`
	Status       int      `json:"status"`
	Route        string   `json:"route"`
	Service      string   `json:"service"`
	Organisation string   `json:"organisation"`
	Reason       string   `json:"reason"`
	Targets      []string `json:"targets"`
	// TookMs and FirstMs are the times to the end and to the first byte of the response, in ms.
	TookMs  float64 `json:"took-ms"`
	FirstMs float64 `json:"first-ms"`
	// Used is in tokens.
	Used int64 `json:"used"`
}

// Began returns when the request of the line arrived.
func (l Line) Began() time.Time {
	return l.Time.Add(-time.Duration(l.TookMs * float64(time.Millisecond)))
}

// Reader reads the lines of one file. Source and File are set before use.
type Reader struct {
	Source io.Reader
	// File is the name of the file.
	File string
	// Broken counts the lines that are cut, too long or not an object, and were skipped.
	Broken int

	r *bufio.Reader
}

// Each calls fn for each line with its text, in order. Lines without a message of the program,
// such as those of the platform, are skipped. The error is that of the source.
func (r *Reader) Each(fn func(l Line, text []byte)) error {
	r.r = bufio.NewReaderSize(r.Source, maxLine)
	for {
		text, err := r.r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			r.Broken++
			for errors.Is(err, bufio.ErrBufferFull) {
				_, err = r.r.ReadSlice('\n')
			}
			text = nil
		}
		r.pass(bytes.TrimSpace(text), fn)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// pass parses one line and passes it on.
func (r *Reader) pass(text []byte, fn func(l Line, text []byte)) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var l Line
	if err := json.Unmarshal(text[start:], &l); err != nil {
		r.Broken++
		return
	}
	if l.Message == "" {
		return
	}
	l.Source = r.File
	if before := strings.Fields(string(text[:start])); len(before) > 0 {
		l.Source = before[len(before)-1]
	}
	fn(l, text)
}
