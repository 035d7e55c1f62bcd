package appd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/beryllanding/beryllanding/internal/stand/toggle"
)

// maxBody bounds the body of a call, in bytes.
const maxBody = 1 << 20

// Handler serves reservations, transfers, lookups, counts and the switches.
func (a *App) Handler() http.Handler {
	r := mux.NewRouter()
	a.Switches.Register(r)
	r.HandleFunc("/counts", a.serveCounts).Methods(http.MethodGet)
	r.HandleFunc("/reservations", a.serveReservation).Methods(http.MethodPost)
	r.HandleFunc("/transfers", a.serveTransfer).Methods(http.MethodPost)
	r.HandleFunc("/stock/{part}", a.serveStock).Methods(http.MethodGet)
	return r
}

func (a *App) serveReservation(w http.ResponseWriter, r *http.Request) {
	var res Reservation
	run, err := decode(w, r, &res)
	if err == nil {
		err = res.check()
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	a.serveRun(w, r, func() (int, any) {
		number, left, ok := a.reserve(res, run)
		if !ok {
			return http.StatusConflict, errorBody(fmt.Errorf("stock of part %q is %d", res.Part, left))
		}
		return http.StatusCreated, struct {
			Reservation int    `json:"reservation"`
			Part        string `json:"part"`
			Qty         int    `json:"qty"`
			Left        int    `json:"left"`
		}{number, res.Part, res.Qty, left}
	})
}

func (a *App) serveTransfer(w http.ResponseWriter, r *http.Request) {
	var tr Transfer
	run, err := decode(w, r, &tr)
	if err == nil {
		err = tr.check()
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	a.serveRun(w, r, func() (int, any) {
		number, from := a.transfer(tr, run)
		return http.StatusCreated, struct {
			Transfer int    `json:"transfer"`
			Lot      string `json:"lot"`
			From     string `json:"from"`
			To       string `json:"to"`
		}{number, tr.Lot, from, tr.To}
	})
}

func (a *App) serveStock(w http.ResponseWriter, r *http.Request) {
	part := mux.Vars(r)["part"]
	a.serveRun(w, r, func() (int, any) {
		return http.StatusOK, struct {
			Part string `json:"part"`
			Qty  int    `json:"qty"`
		}{part, a.Stock(part)}
	})
}

func (a *App) serveCounts(w http.ResponseWriter, _ *http.Request) {
	toggle.WriteJSON(w, http.StatusOK, a.Counts())
}

// serveRun runs a call under the switches and answers with the status and body that run
// returns.
func (a *App) serveRun(w http.ResponseWriter, r *http.Request, run func() (int, any)) {
	sw := a.Switches.Get()
	if sw.Silent {
		hang(r)
	}
	if sw.Fail {
		writeError(w, http.StatusInternalServerError, fmt.Errorf("switched to fail"))
		return
	}
	time.Sleep(time.Duration(sw.SlowMS) * time.Millisecond)
	status, body := run()
	switch {
	case sw.DieAfterRun:
		panic(http.ErrAbortHandler)
	case sw.SilentAfterRun:
		hang(r)
	case sw.FailAfterRun:
		writeError(w, http.StatusInternalServerError, fmt.Errorf("switched to fail after the run"))
	default:
		toggle.WriteJSON(w, status, body)
	}
}

// hang blocks until the caller gives up.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// decode decodes the body into a value and returns the identity of the call.
func decode(w http.ResponseWriter, r *http.Request, into any) (runID, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return runID{}, err
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return runID{}, fmt.Errorf("body is malformed: %w", err)
	}
	return runID{request: r.Header.Get("X-Request-Id"), body: string(raw)}, nil
}

func errorBody(err error) any {
	return struct {
		Error string `json:"error"`
	}{err.Error()}
}

func writeError(w http.ResponseWriter, status int, err error) {
	toggle.WriteJSON(w, status, errorBody(err))
}
