package limiter

import "net/http"

// RefuseBody makes the server answer a request without reading its body. The connection
// is closed after the answer. It does nothing for a request without a body.
func RefuseBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(aLongTimeAgo) // without it the server reads the rest
}
