package emulator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/dispatcher"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/lister"
)

// Handler serves the store over the HTTP interface of the JSON gateway of etcd v3.
func (c *StoreClient) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+keeper.RangePath, jsonHandler(http.StatusOK, c.serveRange))
	mux.Handle("POST "+keeper.TxnPath, jsonHandler(http.StatusOK, c.serveTxn))
	mux.Handle("POST "+keeper.GrantPath, jsonHandler(http.StatusOK, func(r *http.Request, in keeper.Lease) (keeper.Lease, error) {
		id, err := c.Grant(r.Context(), time.Duration(in.TTL)*time.Second)
		return keeper.Lease{ID: int64(id), TTL: in.TTL}, err
	}))
	mux.Handle("POST "+keeper.KeepAlivePath, jsonHandler(http.StatusOK, func(r *http.Request, in keeper.Lease) (out keeper.KeepAliveResponse, err error) {
		err = c.KeepAlive(r.Context(), keeper.LeaseID(in.ID))
		if errors.Is(err, keeper.ErrLeaseLost) {
			return out, nil
		}
		out.Result = keeper.Lease{ID: in.ID, TTL: 1}
		return out, err
	}))
	mux.Handle("POST "+keeper.RevokePath, jsonHandler(http.StatusOK, func(r *http.Request, in keeper.Lease) (struct{}, error) {
		return struct{}{}, c.Revoke(r.Context(), keeper.LeaseID(in.ID))
	}))
	mux.HandleFunc("POST "+keeper.WatchPath, c.serveWatch)
	return mux
}

func (c *StoreClient) serveRange(r *http.Request, in keeper.RangeRequest) (out keeper.RangeResponse, err error) {
	var records []keeper.Record
	if len(in.RangeEnd) == 0 {
		records = make([]keeper.Record, 1)
		records[0], err = c.Get(r.Context(), string(in.Key))
	} else {
		records, out.Header.Revision, err = c.List(r.Context(), strings.Trim(string(in.Key), "\x00"))
	}
	for _, r := range records {
		if r.Revision != 0 {
			out.Kvs = append(out.Kvs, keyValue(r))
		}
	}
	return out, err
}

func (c *StoreClient) serveTxn(r *http.Request, in keeper.TxnRequest) (out keeper.TxnResponse, err error) {
	if len(in.Compare) != 1 || len(in.Success) != 1 {
		return out, errors.New("the stand-in takes one comparison and one operation")
	}
	key, revision := string(in.Compare[0].Key), in.Compare[0].ModRevision
	if put := in.Success[0].Put; put != nil {
		record, swapErr := c.Swap(r.Context(), key, put.Value, revision, keeper.LeaseID(put.Lease))
		out.Header.Revision, err = record.Revision, swapErr
	} else {
		err = c.Delete(r.Context(), key, revision)
	}
	if errors.Is(err, keeper.ErrConflict) {
		return out, nil
	}
	out.Succeeded = err == nil
	return out, err
}

func (c *StoreClient) serveWatch(w http.ResponseWriter, r *http.Request) {
	var in keeper.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	send := func(result keeper.WatchResult) {
		_ = json.NewEncoder(w).Encode(keeper.WatchMessage{Result: result}) // a write error means that the client has closed the watch connection
		_ = http.NewResponseController(w).Flush()
	}
	send(keeper.WatchResult{Created: true})
	prefix, after := strings.Trim(string(in.Create.Key), "\x00"), in.Create.StartRevision-1
	err := c.Watch(r.Context(), prefix, after, func(ev keeper.Event) {
		out := keeper.WatchEvent{Kv: keyValue(ev.Record)}
		if ev.Deleted {
			out.Type = keeper.DeleteEventType
		}
		send(keeper.WatchResult{Events: []keeper.WatchEvent{out}})
	})
	if errors.Is(err, keeper.ErrCompacted) {
		send(keeper.WatchResult{Canceled: true, CompactRevision: after + 1})
	}
}

func keyValue(r keeper.Record) keeper.KeyValue {
	return keeper.KeyValue{Key: []byte(r.Key), Value: r.Value, ModRevision: r.Revision}
}

// Handler serves the HTTP interface of the worker at an address.
func (f *Fleet) Handler(address string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+dispatcher.TasksPath, func(w http.ResponseWriter, r *http.Request) {
		var s dispatcher.Start
		if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeStartResponse(w, s, f.startTask(r.Context(), address, s))
	})
	mux.Handle("POST "+dispatcher.LeasesPath, jsonHandler(http.StatusOK, func(r *http.Request, in dispatcher.Renewal) ([]string, error) {
		return f.Renew(r.Context(), address, in)
	}))
	mux.Handle("GET "+dispatcher.UsagePath, jsonHandler(http.StatusOK, func(r *http.Request, _ struct{}) (dispatcher.Usage, error) {
		return f.Usage(r.Context(), address)
	}))
	orders := map[string]func(context.Context, string, string) error{"stop": f.Stop, "checkpoint": f.Checkpoint, "throttle": f.Throttle}
	for verb, order := range orders {
		mux.Handle("POST "+dispatcher.TasksPath+"/{id}/"+verb, jsonHandler(http.StatusOK, func(r *http.Request, in struct{}) (struct{}, error) {
			return in, order(r.Context(), address, r.PathValue("id"))
		}))
	}
	return mux
}

// writeStartResponse writes the response to a start, truncated if the response has
// that fault. It aborts the connection when the worker does not respond.
func writeStartResponse(w http.ResponseWriter, s dispatcher.Start, a startResponse) {
	switch {
	case a.err != nil:
		panic(http.ErrAbortHandler)
	case a.refusalReason != "":
		writeJSON(w, http.StatusConflict, dispatcher.Refusal{Task: s.Task, Reason: a.refusalReason})
	case a.truncated:
		raw, _ := json.Marshal(a.finish) // encoding a Finish cannot fail
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		_, _ = w.Write(raw[:len(raw)/2])
	default:
		writeJSON(w, http.StatusOK, a.finish)
	}
}

// Handler serves the HTTP interface of the instance list.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+lister.InstancesPath, p.serveList)
	mux.Handle("POST "+lister.InstancesPath+"/{id}/reboot", jsonHandler(http.StatusAccepted, func(r *http.Request, in struct{}) (struct{}, error) {
		return in, p.Reboot(r.Context(), r.PathValue("id"))
	}))
	return mux
}

// serveList responds with the list of instances, or with status 304 when the
// client already has the list with this entity tag.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := p.List(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	raw, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	sum := sha256.Sum256(raw)
	w.Header().Set("ETag", strconv.Quote(hex.EncodeToString(sum[:16])))
	w.Header().Set("Content-Type", "application/json")
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(raw))
}

// jsonHandler decodes the JSON request, calls fn and writes its result as JSON. It
// aborts the connection on errors that have no HTTP status, such as a lost
// response.
func jsonHandler[In, Out any](status int, fn func(*http.Request, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil && err != io.EOF {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := fn(r, in)
		switch {
		case err == nil:
			writeJSON(w, status, out)
		case errors.Is(err, keeper.ErrUnavailable), errors.Is(err, lister.ErrUnavailable):
			writeJSON(w, http.StatusServiceUnavailable, keeper.GatewayError{Code: keeper.UnavailableCode, Message: keeper.NoLeaderMessage})
		case errors.Is(err, keeper.ErrTooLarge):
			writeJSON(w, http.StatusBadRequest, keeper.GatewayError{Code: keeper.InvalidArgumentCode, Message: keeper.TooLargeMessage})
		case errors.Is(err, keeper.ErrLeaseLost), errors.Is(err, lister.ErrNotFound), classifier.As(err).Code == classifier.NotFound:
			writeJSON(w, http.StatusNotFound, keeper.GatewayError{Code: keeper.NotFoundCode, Message: err.Error()})
		default:
			panic(http.ErrAbortHandler)
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, out any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out) // a write error means that the client has closed the connection
}
