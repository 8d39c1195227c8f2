package config

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// BenchmarkParse measures reading a document of so many executors;
// docs/CAPACITY.md uses the slopes.
func BenchmarkParse(b *testing.B) {
	for _, executors := range []int{500, 5_000, 29_000} {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			data := []byte(documentOf(executors))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			doc, err := Parse("c.ini", data)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(doc)
			for b.Loop() {
				_, _ = Parse("c.ini", data)
			}
			b.ReportMetric(float64(len(data)), "document-B")
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-B")
		})
	}
}

func documentOf(executors int) string {
	var text strings.Builder
	text.WriteString("[region r]\ndomains = d1, d2, d3, d4, d5, d6, d7, d8, d9\n[service desk]\npool = p\n[pool p]\n")
	for team := range 81 {
		fmt.Fprintf(&text, "[team t%d]\nservices = desk\n", team)
	}
	for domain := range 9 {
		var addresses []string
		for n := domain; n < executors; n += 9 {
			addresses = append(addresses, fmt.Sprintf("10.%d.%d.%d:7100", n>>16, n>>8&255, n&255))
		}
		fmt.Fprintf(&text, "[executors p d%d]\naddresses = %s\n", domain+1, strings.Join(addresses, ", "))
	}
	return text.String()
}
