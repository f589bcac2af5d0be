package server

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotbank/standin/fault"
)

const (
	defaultStatusInterval = time.Second
	defaultDownloadBytes  = 1 << 20
	maxDownloadBytes      = 1 << 30
	downloadBlockBytes    = 16 << 10
)

// StatusLine is one line of a status stream. Sequence starts at 1 and increases by 1.
type StatusLine struct {
	Sequence uint64 `json:"sequence"`
	Server   string `json:"server"`
	Service  string `json:"service"`
	Instance string `json:"instance"`
}

// serveStatus streams one line per interval until the caller disconnects or, if the
// query has a limit, until that number of lines is written.
func (b *backend) serveStatus(w http.ResponseWriter, r *http.Request) {
	if b.rejectUnavailable(w, Faults{Drain: b.faults.Get().Drain}) || b.resetIfCrashed(w) {
		return
	}
	interval, limit, err := statusQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.counts.streams.Add(1)
	defer b.counts.streams.Add(-1)
	w.Header().Set("Content-Type", "application/jsonl")
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	line := StatusLine{Server: b.command.Name, Service: b.command.Service, Instance: b.instance}
	for limit == 0 || line.Sequence < limit {
		line.Sequence++
		if encoder.Encode(line) != nil || controller.Flush() != nil {
			return
		}
		if !fault.Sleep(r.Context(), interval) {
			return
		}
	}
}

// resetIfCrashed resets the connection and returns true if the server has crashed.
func (b *backend) resetIfCrashed(w http.ResponseWriter) bool {
	state, _, _ := b.slots.load()
	if state != StateCrashed {
		return false
	}
	b.reset(w)
	return true
}

func statusQuery(r *http.Request) (interval time.Duration, limit uint64, err error) {
	interval = defaultStatusInterval
	query := r.URL.Query()
	if query.Has("interval") {
		interval, err = time.ParseDuration(query.Get("interval"))
	}
	if err == nil && query.Has("limit") {
		limit, err = strconv.ParseUint(query.Get("limit"), 10, 64)
	}
	return max(interval, time.Millisecond), limit, err
}

// serveDownload sends a body of the size given in the query. The checksum is in the
// header, or in the trailer if the query asks for chunked encoding.
func (b *backend) serveDownload(w http.ResponseWriter, r *http.Request) {
	faults := b.faults.Get()
	if b.rejectUnavailable(w, faults) || b.resetBeforeRead(w, r, faults) || b.resetIfCrashed(w) {
		return
	}
	size, err := downloadBytes(r)
	if err != nil || size < 0 || size > maxDownloadBytes {
		http.Error(w, "query parameter bytes is not a number from 0 to 1 GiB", http.StatusBadRequest)
		return
	}
	if b.command.SlotDownloads {
		t, decision := b.slots.acquire(r.Context())
		if decision != admitRun {
			b.writeRejection(w, decision)
			return
		}
		defer b.slots.release(t)
	}
	if r.URL.Query().Has("chunked") {
		w.Header().Set("Trailer", headerChecksum)
		sum, _ := writeDownload(w, size)
		w.Header().Set(headerChecksum, sum)
		return
	}
	b.serveDownloadWithLength(w, size, faults)
}

func (b *backend) serveDownloadWithLength(w http.ResponseWriter, size int, faults Faults) {
	sum, _ := writeDownload(io.Discard, size)
	w.Header().Set(headerChecksum, sum)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if b.random.chance(faults.ResetMidResponse) {
		_, _ = writeDownload(w, size/2)
		_ = http.NewResponseController(w).Flush()
		b.reset(w)
		return
	}
	_, _ = writeDownload(w, size)
}

func downloadBytes(r *http.Request) (int, error) {
	if !r.URL.Query().Has("bytes") {
		return defaultDownloadBytes, nil
	}
	return strconv.Atoi(r.URL.Query().Get("bytes"))
}

// writeDownload writes a body in which every block differs and returns its checksum.
func writeDownload(w io.Writer, size int) (string, error) {
	digest := xxhash.New()
	both := io.MultiWriter(w, digest)
	block := make([]byte, downloadBlockBytes)
	for i := range block {
		block[i] = byte(i * 31)
	}
	for sent := 0; sent < size; sent += len(block) {
		for i := range 8 {
			block[i] = byte(sent >> (8 * i))
		}
		if _, err := both.Write(block[:min(len(block), size-sent)]); err != nil {
			return "", err
		}
	}
	return formatChecksum(digest.Sum64()), nil
}

// serveEchoRequest returns the body of the request. It takes no slot.
func (b *backend) serveEchoRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "request body is too large or incomplete", http.StatusBadRequest)
		return
	}
	w.Header().Set(headerRequest, r.Header.Get(headerRequest))
	b.writeBody(w, body, false)
}
