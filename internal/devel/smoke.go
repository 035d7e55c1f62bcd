package devel

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

const (
	// smokeQuestion is the question of the chats. The engine's stand-in answers with
	// the words of the question.
	smokeQuestion = "which bogie fits"
	// billTimeout bounds the wait for the usage to be billed on the log.
	billTimeout = 10 * time.Second
	// billPoll is the time between two checks of the bill.
	billPoll = 20 * time.Millisecond
)

// Smoke sends one chat, one streamed chat and one reservation, and checks the answers
// and the bill. It writes a line to w for each step that passed, and returns the first
// failure. Call it once per system, because it expects the bill to contain only these
// requests.
func (s *System) Smoke(ctx context.Context, w io.Writer) error {
	account := Accounts[0]
	chat, err := s.smokeChat(ctx, account)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "chat: right answer, %d tokens\n", chat)
	stream, err := s.smokeStream(ctx, account)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "streamed chat: right answer, %d tokens\n", stream)
	if err := s.smokeReservation(ctx, account); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "reservation: made once, %d tokens\n", callPrice)
	return s.smokeBill(ctx, w, account, chat+stream+callPrice)
}

// usage is the token usage that an answer reports.
type usage struct {
	Prompt     ledger.Tokens `json:"prompt_tokens"`
	Completion ledger.Tokens `json:"completion_tokens"`
}

// smokeChat sends a chat and returns the number of tokens that the answer reports.
func (s *System) smokeChat(ctx context.Context, a Account) (ledger.Tokens, error) {
	raw, err := s.post(ctx, a, "/v1/chat/completions", "", chatBody(false))
	if err != nil {
		return 0, err
	}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
		Usage usage `json:"usage"`
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return 0, fmt.Errorf("answer of the chat: %w", err)
	}
	if len(answer.Choices) != 1 {
		return 0, fmt.Errorf("answer of the chat has %d choices, want 1", len(answer.Choices))
	}
	return answer.Usage.Prompt + answer.Usage.Completion, checkEcho(answer.Choices[0].Message.Content)
}

// smokeStream sends a streamed chat and returns the number of tokens that its last event
// reports.
func (s *System) smokeStream(ctx context.Context, a Account) (ledger.Tokens, error) {
	raw, err := s.post(ctx, a, "/v1/chat/completions", "", chatBody(true))
	if err != nil {
		return 0, err
	}
	var content strings.Builder
	var total ledger.Tokens
	done := false
	for line := range strings.Lines(string(raw)) {
		data, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Usage *usage `json:"usage"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return 0, fmt.Errorf("event %q of the streamed chat: %w", data, err)
		}
		for _, c := range event.Choices {
			content.WriteString(c.Delta.Content)
		}
		if event.Usage != nil {
			total = event.Usage.Prompt + event.Usage.Completion
		}
	}
	if !done {
		return 0, fmt.Errorf("the streamed chat ended without %q", "[DONE]")
	}
	return total, checkEcho(content.String())
}

// smokeReservation sends a reservation twice with the same idempotency key, and checks
// that the answers are equal: the second attempt must not make another reservation.
func (s *System) smokeReservation(ctx context.Context, a Account) error {
	body := `{"part": "brake-block", "qty": 2}`
	first, err := s.post(ctx, a, "/apps/"+App+"/reservations", "smoke-1", body)
	if err != nil {
		return err
	}
	again, err := s.post(ctx, a, "/apps/"+App+"/reservations", "smoke-1", body)
	if err != nil {
		return err
	}
	if !bytes.Equal(first, again) {
		return fmt.Errorf("retry of the reservation: got the answer %q, want %q as for the first attempt", again, first)
	}
	return nil
}

// smokeBill waits until the wanted number of tokens is billed on the log, for at most
// billTimeout.
func (s *System) smokeBill(ctx context.Context, w io.Writer, a Account, want ledger.Tokens) error {
	ctx, cancel := context.WithTimeout(ctx, billTimeout)
	defer cancel()
	for {
		b, err := s.Ledger(ctx, a.Budget)
		if err == nil && b.Billed >= want {
			_, _ = fmt.Fprintf(w, "bill of %s: paid %d, billed %d, left %d\n", a.Budget, b.Paid, b.Billed, b.Balance())
			if b.Billed > want {
				return fmt.Errorf("budget %q was billed %d tokens, want %d", a.Budget, b.Billed, want)
			}
			return nil
		}
		if !pause.For(ctx, billPoll) {
			return fmt.Errorf("budget %q was billed %d tokens, want %d", a.Budget, b.Billed, want)
		}
	}
}

func chatBody(stream bool) string {
	return fmt.Sprintf(`{"model": %q, "stream": %t, "messages": [{"role": "user", "content": %q}]}`, Model, stream, smokeQuestion)
}

// checkEcho checks that the answer repeats the question.
func checkEcho(content string) error {
	if !strings.HasPrefix(content, smokeQuestion) {
		return fmt.Errorf("got the answer %q, want one that begins with %q", content, smokeQuestion)
	}
	return nil
}

// post sends a request with the account's API key and returns the body of the answer. A
// status of 400 or more is an error.
func (s *System) post(ctx context.Context, a Account, path, key, body string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+a.Key)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= http.StatusBadRequest {
		err = fmt.Errorf("%s was answered %s: %s", path, resp.Status, raw)
	}
	return raw, err
}
