// Command leak prints 100 where method values are compiled correctly.
package main

import (
	"fmt"

	"leak/report"
)

//go:noinline
func call(read func(int) error) error { return read(100) }

func main() {
	counts := make(chan int)
	go func() {
		var r report.Report
		_ = call(r.Read)
		counts <- r.Count
	}()
	fmt.Println(<-counts)
}
