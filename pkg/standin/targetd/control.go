package targetd

import (
	"encoding/json"
	"net/http"
)

// StartsRequest asks how often tasks started; keys are part/index.
type StartsRequest struct {
	Keys []string `json:"keys"`
}

// FaultsRequest sets the switches of one executor.
type FaultsRequest struct {
	Address string `json:"address"`
	Faults
}

// NewControl serves the counters and switches of a process' executors, which
// are given by address.
func NewControl(ledger *Ledger, executors map[string]*Executor) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, ledger.Counters())
	})
	mux.HandleFunc("POST /control/starts", func(w http.ResponseWriter, r *http.Request) {
		var request StartsRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		counts := make([]uint32, len(request.Keys))
		for i, key := range request.Keys {
			counts[i] = ledger.Started(key)
		}
		writeJSON(w, counts)
	})
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var request FaultsRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		executor := executors[request.Address]
		if executor == nil {
			http.Error(w, "no executor at "+request.Address, http.StatusNotFound)
			return
		}
		executor.SetFaults(request.Faults)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
