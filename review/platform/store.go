package main

import (
	"net/http"
	"net/http/httptest"
)

// withStoreFaults returns the store's handler with the disruption of a case: a store that
// answers nothing.
func (w *world) withStoreFaults(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.isSilent() {
			<-r.Context().Done()
			return
		}
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, r)
		if w.isSilent() {
			<-r.Context().Done() // its answer is lost as well
			return
		}
		for name, values := range answer.Header() {
			rw.Header()[name] = values
		}
		rw.WriteHeader(answer.Code)
		_, _ = rw.Write(answer.Body.Bytes()) // an error means that the caller has left
	})
}

func (w *world) isSilent() bool {
	w.storeMu.Lock()
	defer w.storeMu.Unlock()
	return w.silent
}

// setSilent sets whether the store answers nothing.
func (w *world) setSilent(silent bool) {
	w.storeMu.Lock()
	defer w.storeMu.Unlock()
	w.silent = silent
	w.rec.note("store: silent from now on: %t", silent)
}
