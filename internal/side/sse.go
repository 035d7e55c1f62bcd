package side

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// maxEvent is the largest size of a server-sent event, in bytes.
const maxEvent = 256 << 10

// errEventTooLarge reports a server-sent event of more than maxEvent bytes.
var errEventTooLarge = errors.New("server-sent event exceeds the size limit")

// doneData is the data of the event that ends an engine's stream.
var doneData = []byte("[DONE]")

// events reads server-sent events.
type events struct {
	r *bufio.Reader
}

// newEvents returns a reader of the server-sent events in r.
func newEvents(r io.Reader) *events { return &events{r: bufio.NewReader(r)} }

// next returns the data of the next event. The caller may keep it. If the input
// ends within an event, next drops the event and returns io.EOF.
func (e *events) next() ([]byte, error) {
	var data []byte
	has := false
	for {
		line, err := e.line()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 && has {
			return data, nil
		}
		value, ok := dataOf(line)
		if !ok {
			continue
		}
		if has {
			data = append(data, '\n')
		}
		has = true
		data = append(data, value...)
		if len(data) > maxEvent {
			return nil, errEventTooLarge
		}
	}
}

// line returns the next line without its line ending. The slice is valid until the
// next call.
func (e *events) line() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if err == nil {
		return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > maxEvent {
			return nil, errEventTooLarge
		}
		line, err = e.r.ReadSlice('\n')
		long = append(long, line...)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(long[:len(long)-1], []byte{'\r'}), nil
}

// dataOf returns the value of a line's "data" field. It returns false if the line
// has another field or none.
func dataOf(line []byte) ([]byte, bool) {
	value, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return nil, bytes.Equal(line, []byte("data"))
	}
	return bytes.TrimPrefix(value, []byte{' '}), true
}

// delta is the decoded data of an engine's event.
type delta struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Created int64  `json:"created"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     ledger.Tokens `json:"prompt_tokens"`
		CompletionTokens ledger.Tokens `json:"completion_tokens"`
	} `json:"usage"`
}

// parseDelta decodes the data of an engine's event.
func parseDelta(data []byte) (delta, error) {
	var d delta
	if err := json.Unmarshal(data, &d); err != nil {
		return delta{}, fmt.Errorf("engine event: %w", err)
	}
	return d, nil
}

// content returns the output text of the event. The engine sends one token in each
// event that has content.
func (d *delta) content() string {
	if len(d.Choices) == 0 {
		return ""
	}
	return d.Choices[0].Delta.Content
}

// finishReason returns why the engine's output ended. It is empty while the output
// continues.
func (d *delta) finishReason() string {
	if len(d.Choices) == 0 {
		return ""
	}
	return d.Choices[0].FinishReason
}
