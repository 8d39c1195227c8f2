package client_test

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/foxcroft/foxcroft/pkg/client"
)

// Submit a job through the balancer and handle each way in which it can end.
func Example() {
	foxcroft := client.New(client.Options{Entries: []string{"127.0.0.1:8080"}})
	result, err := foxcroft.Submit(context.Background(), client.Job{
		Service:  "formula-desk",
		Team:     "counters",
		Deadline: 2 * time.Second,
		Tasks:    []json.RawMessage{json.RawMessage(`{"colour":"ochre"}`)},
	})
	switch {
	case err == nil:
		fmt.Printf("%s\n", result.Results[0])
	case client.MayHaveRun(err):
		fmt.Println("look at the tinting machine first:", err)
	default:
		fmt.Println("nothing ran:", err)
	}
}
