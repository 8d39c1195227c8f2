package spread

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// line writes a log line of a host, some milliseconds after the first.
func line(node string, at int, message, fields string) string {
	return fmt.Sprintf(`1.5 %s {"time":"2026-03-18T22:21:%02d.%03dZ","msg":%q,"node":%q%s}`, node, at/1000, at%1000, message, node, fields)
}

func TestDelaysOfNews(t *testing.T) {
	type scenario struct {
		testName string
		lines    []string
		want     delays
	}
	inForce := func(node string, at int) string {
		return line(node, at, "configuration_in_force", `,"version":7`)
	}
	scenarios := []scenario{
		{testName: "one host", lines: []string{inForce("a", 5)}, want: delays{hosts: 1}},
		{
			testName: "three hosts", lines: []string{inForce("b", 30), inForce("a", 10), inForce("c", 110)},
			want: delays{hosts: 3, middle: 20 * time.Millisecond, late: 20 * time.Millisecond, last: 100 * time.Millisecond},
		},
		{
			testName: "the first time counts", lines: []string{inForce("a", 10), inForce("b", 20), inForce("b", 5000)},
			want: delays{hosts: 2, last: 10 * time.Millisecond},
		},
		{
			testName: "a host that starts much later", lines: []string{inForce("a", 10), inForce("b", 20), inForce("c", 30000)},
			want: delays{hosts: 2, last: 10 * time.Millisecond},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			r := NewReport()
			c.Assert(r.Read(strings.NewReader(strings.Join(s.lines, "\n"))), qt.IsNil)
			c.Assert(delaysOf(r.configurations[7]), qt.Equals, s.want)
		})
	}
}

func TestRatesByRole(t *testing.T) {
	c := qt.New(t)
	r := NewReport()
	log := strings.Join([]string{
		line("a", 0, "traffic", `,"reads_list":true,"cells":1,"hub":true,"store_in":9000`),
		line("b", 0, "traffic", `,"cells":2,"hub":true,"peers_out":40`),
		line("c", 0, "traffic", `,"hub":true,"peers_out":30`),
		line("d", 0, "traffic", `,"peers_out":10`),
		line("e", 0, "traffic", `,"peers_out":20`),
		line("f", 0, "started", ``),
	}, "\n")
	c.Assert(r.Read(strings.NewReader(log)), qt.IsNil)
	var out bytes.Buffer
	c.Assert(r.Write(&out), qt.IsNil)
	var got []string
	for _, line := range strings.Split(out.String(), "\n") {
		if strings.Contains(line, "store in") || strings.Contains(line, "peers out") {
			got = append(got, strings.Join(strings.Fields(line), " "))
		}
	}
	c.Assert(got, qt.DeepEquals, []string{
		"store in 9000 / 9000 0 / 0 0 / 0 0 / 0",
		"peers out 0 / 0 40 / 40 30 / 30 20 / 20",
	})
}
