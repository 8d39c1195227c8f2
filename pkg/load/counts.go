package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/jobapi"
	"github.com/foxcroft/foxcroft/pkg/standin/targetd"
)

// verifyBatch is the number of tasks whose starts are asked for at once.
const verifyBatch = 20_000

// counts are the messages counted so far. Entry hosts that do not answer, or
// began anew, are left out of a difference.
type counts struct {
	peers   map[string]map[string]uint64 // by incarnation, by class
	targets targetd.Counters
}

func takeCounts(ctx context.Context, o Options) (counts, error) {
	c := counts{peers: map[string]map[string]uint64{}}
	for _, address := range o.Entries {
		var status jobapi.HostStatus
		if err := getJSON(ctx, "http://"+address+jobapi.PathStatus, &status); err == nil {
			c.peers[status.Incarnation] = status.Messages
		}
	}
	for _, address := range o.Controls {
		var counted targetd.Counters
		if err := getJSON(ctx, "http://"+address+"/control/counters", &counted); err != nil {
			return c, errkind.Wrap(err, errkind.NotFound, "give the addresses that the target stand-ins listen on", "control %s does not answer", address)
		}
		c.targets.Requests += counted.Requests
		c.targets.Starts += counted.Starts
		c.targets.Doubles += counted.Doubles
		c.targets.Refused += counted.Refused
	}
	return c, nil
}

// verifyStarts checks the answers against what the targets started: a job
// that was not run must not have started, one that is complete must have
// started each task once.
func (r *Report) verifyStarts(ctx context.Context, controls []string, arrivals []Arrival, results []ended) error {
	var keys []string
	var jobs []int
	for i := range arrivals {
		for task := range arrivals[i].Tasks {
			keys = append(keys, startKey(&arrivals[i], task))
			jobs = append(jobs, i)
		}
	}
	for from := 0; from < len(keys); from += verifyBatch {
		to := min(len(keys), from+verifyBatch)
		starts, err := countStarts(ctx, controls, keys[from:to])
		if err != nil {
			return err
		}
		for k, n := range starts {
			r.checkStarts(results[jobs[from+k]], n)
		}
	}
	return nil
}

func countStarts(ctx context.Context, controls, keys []string) ([]uint32, error) {
	sums := make([]uint32, len(keys))
	for _, address := range controls {
		var starts []uint32
		if err := postJSON(ctx, "http://"+address+"/control/starts", targetd.StartsRequest{Keys: keys}, &starts); err != nil {
			return nil, errkind.Wrap(err, errkind.NotFound, "give the addresses that the target stand-ins listen on", "control %s does not answer", address)
		}
		for i, n := range starts {
			sums[i] += n
		}
	}
	return sums, nil
}

func getJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return doJSON(request, into)
}

func postJSON(ctx context.Context, url string, value, into any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return doJSON(request, into)
}

func doJSON(request *http.Request, into any) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}
