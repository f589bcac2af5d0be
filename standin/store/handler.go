package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"bergamotbank/standin/fault"
)

const (
	kvPath          = "/v1/kv/"
	indexHeader     = "X-Consul-Index"
	maxTxnBodyBytes = 2 * MaxValueBytes
)

// handler serves the HTTP API.
type handler struct {
	service    *service
	counters   *counters
	faults     *fault.Switches[Faults]
	staller    *watchStaller
	sampler    *faultSampler
	readLimit  *rate.Limiter
	writeLimit *rate.Limiter
}

// routes returns the handler of the API and of the fault switches.
func (h *handler) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+kvPath, h.get)
	mux.HandleFunc("PUT "+kvPath, h.put)
	mux.HandleFunc("DELETE "+kvPath, h.delete)
	mux.HandleFunc("PUT /v1/txn", h.txn)
	mux.HandleFunc("PUT /v1/session/create", h.createSession)
	mux.HandleFunc("PUT /v1/session/renew/{id}", h.renewSession)
	mux.HandleFunc("PUT /v1/session/destroy/{id}", h.destroySession)
	mux.HandleFunc("GET /v1/session/info/{id}", h.sessionInfo)
	mux.Handle("/fault", h.faults)
	mux.HandleFunc("GET /fault/counters", h.serveCounters)
	return mux
}

func (h *handler) serveCounters(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, h.counters.snapshot(h.service.now()))
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	if !h.admit(w, r, callWrite) {
		return
	}
	write, ok := readWrite(w, r)
	if !ok {
		return
	}
	h.counters.bytesIn.Add(uint64(len(write.Value)))
	var applied bool
	h.service.update(func(data *Data, now time.Time) { applied = data.Put(write, now) })
	h.respondWrite(w, write.Key, applied)
}

func (h *handler) respondWrite(w http.ResponseWriter, key string, applied bool) {
	if !applied {
		h.counters.conflicts.Add(1)
	}
	if applied && h.loseResponse(w, key) {
		return
	}
	fault.WriteJSON(w, applied)
}

func readWrite(w http.ResponseWriter, r *http.Request) (write Write, ok bool) {
	query := r.URL.Query()
	write = Write{
		Key:     strings.TrimPrefix(r.URL.Path, kvPath),
		Acquire: query.Get("acquire"),
		Release: query.Get("release"),
	}
	if write.Key == "" {
		http.Error(w, "missing key name", http.StatusBadRequest)
		return write, false
	}
	index, present, ok := casIndex(w, r)
	if !ok {
		return write, false
	}
	write.Index = index
	write.CompareAndSwap = present
	flags, err := strconv.ParseUint(zeroIfEmpty(query.Get("flags")), 10, 64)
	if err != nil {
		http.Error(w, "flags is not a number", http.StatusBadRequest)
		return write, false
	}
	write.Flags = flags
	write.Value, ok = readValue(w, r)
	return write, ok
}

func readValue(w http.ResponseWriter, r *http.Request) (value []byte, ok bool) {
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		return nil, false
	}
	if len(value) > MaxValueBytes {
		http.Error(w, "value is larger than 1 MB", http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return value, true
}

// casIndex parses the query parameter cas.
func casIndex(w http.ResponseWriter, r *http.Request) (index uint64, present, ok bool) {
	query := r.URL.Query()
	if !query.Has("cas") {
		return 0, false, true
	}
	index, err := strconv.ParseUint(query.Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "cas is not a number", http.StatusBadRequest)
		return 0, true, false
	}
	return index, true, true
}

func zeroIfEmpty(text string) string {
	if text == "" {
		return "0"
	}
	return text
}

func (h *handler) delete(w http.ResponseWriter, r *http.Request) {
	if !h.admit(w, r, callWrite) {
		return
	}
	key := strings.TrimPrefix(r.URL.Path, kvPath)
	index, present, ok := casIndex(w, r)
	if !ok {
		return
	}
	applied := true
	h.service.update(func(data *Data, _ time.Time) {
		switch {
		case r.URL.Query().Has("recurse"):
			data.DeleteTree(key)
		case present:
			applied = data.Delete(key, &index)
		default:
			data.Delete(key, nil)
		}
	})
	h.respondWrite(w, key, applied)
}

func (h *handler) txn(w http.ResponseWriter, r *http.Request) {
	var operations []TxnOperation
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTxnBodyBytes)).Decode(&operations)
	if err != nil || !validTxn(operations) {
		http.Error(w, "invalid transaction", http.StatusBadRequest)
		return
	}
	kind := callTxn
	if ReadOnly(operations) {
		kind = callRead
	}
	if !h.admit(w, r, kind) {
		return
	}
	var response TxnResponse
	h.service.update(func(data *Data, now time.Time) { response = data.Txn(operations, now) })
	if len(response.Errors) > 0 {
		h.counters.conflicts.Add(1)
		w.WriteHeader(http.StatusConflict)
	} else if kind == callTxn && h.loseResponse(w, operations[0].KV.Key) {
		return
	}
	fault.WriteJSON(w, response)
}

func validTxn(operations []TxnOperation) bool {
	if len(operations) == 0 || len(operations) > maxTxnOperations {
		return false
	}
	for _, operation := range operations {
		if operation.KV == nil || len(operation.KV.Value) > MaxValueBytes {
			return false
		}
	}
	return true
}
