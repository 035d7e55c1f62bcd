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

// maxEvent bounds one server-sent event, in bytes.
const maxEvent = 256 << 10

// errEventTooLarge reports a server-sent event over maxEvent.
var errEventTooLarge = errors.New("server-sent event exceeds the size limit")

// doneData is the data of the event that ends an engine's stream.
var doneData = []byte("[DONE]")

// events reads server-sent events.
type events struct {
	r *bufio.Reader
}

// newEvents returns a reader of the events in r.
func newEvents(r io.Reader) *events { return &events{r: bufio.NewReader(r)} }

// next returns the data of the next event, which the caller may keep. An event
// that is cut off by the end of the input is dropped, and io.EOF returned.
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

// line returns the next line without its end. It is valid until the next call.
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

// dataOf returns the value of a "data" field. Other fields are not used.
func dataOf(line []byte) ([]byte, bool) {
	value, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return nil, bytes.Equal(line, []byte("data"))
	}
	return bytes.TrimPrefix(value, []byte{' '}), true
}

// delta is what an engine's event says.
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

// content returns the output of the event. The engine puts out one token for
// each event with content.
func (d *delta) content() string {
	if len(d.Choices) == 0 {
		return ""
	}
	return d.Choices[0].Delta.Content
}

// finishReason returns why the engine ended its output, or nothing.
func (d *delta) finishReason() string {
	if len(d.Choices) == 0 {
		return ""
	}
	return d.Choices[0].FinishReason
}
