//go:build review3

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/foxcroft/foxcroft/platform/standin"
)

const (
	rowBytes         = 65536   // row_bytes of the settings (DEPLOY.md)
	transactionBytes = 1 << 20 // "1 MB" (PROTOCOL.md)
)

// limitedStore is the project's stand-in of the store with the two limits of the protocol's page
// that it lacks: on the value of a row and on a transaction. It refuses what is over them, and
// does nothing then.
type limitedStore struct {
	inner  *standin.Store
	record *record

	mu      sync.Mutex
	refused int
}

func newLimitedStore(inner *standin.Store, record *record) *limitedStore {
	return &limitedStore{inner: inner, record: record}
}

func (s *limitedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/rows-tx" {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if largest := largestValue(body); largest > rowBytes || len(body) > transactionBytes {
			s.noteRefusal(largest, len(body))
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	s.inner.ServeHTTP(w, r)
}

func (s *limitedStore) noteRefusal(largest, whole int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
	if s.refused <= 20 || s.refused%100 == 0 {
		s.record.note("store: transaction %d refused with 400, nothing done: its largest value has %d bytes, its body %d", s.refused, largest, whole)
	}
}

func (s *limitedStore) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

func largestValue(body []byte) int {
	var t struct {
		Put []struct {
			Value string `json:"value"`
		} `json:"put"`
	}
	if json.Unmarshal(body, &t) != nil {
		return 0
	}
	largest := 0
	for _, p := range t.Put {
		if value, err := base64.StdEncoding.DecodeString(p.Value); err == nil {
			largest = max(largest, len(value))
		}
	}
	return largest
}
