package instd

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/beryllanding/beryllanding/internal/stand/toggle"
	"github.com/beryllanding/beryllanding/pkg/insts"
)

// maxBody bounds the body of an announcement, in bytes.
const maxBody = 16 << 10

// Handler serves the protocol of package insts, and the switches.
func (l *List) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/instances", l.serveList).Methods(http.MethodGet)
	r.HandleFunc("/instances/{name}", l.serveAnnounce).Methods(http.MethodPut)
	r.HandleFunc("/instances/{name}", l.serveWithdraw).Methods(http.MethodDelete)
	l.Switches.Register(r)
	return r
}

func (l *List) serveList(w http.ResponseWriter, r *http.Request) {
	l.hang(r)
	list, err := l.Instances()
	if err != nil {
		fail(w, err)
		return
	}
	toggle.WriteJSON(w, http.StatusOK, struct {
		Instances []insts.Instance `json:"instances"`
	}{list})
}

func (l *List) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var inst insts.Instance
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&inst); err != nil {
		fail(w, fmt.Errorf("%w: %w", insts.ErrInvalid, err))
		return
	}
	if name := mux.Vars(r)["name"]; name != inst.Name {
		fail(w, fmt.Errorf("%w: name %q in the path differs from %q in the body", insts.ErrInvalid, name, inst.Name))
		return
	}
	l.hang(r)
	if err := l.Announce(inst); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) serveWithdraw(w http.ResponseWriter, r *http.Request) {
	l.hang(r)
	if err := l.Withdraw(mux.Vars(r)["name"]); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// hang blocks until the caller gives up, if the service is silent.
func (l *List) hang(r *http.Request) {
	if l.Switches.Get().Silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func fail(w http.ResponseWriter, err error) {
	if errors.Is(err, insts.ErrUnavailable) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
}
