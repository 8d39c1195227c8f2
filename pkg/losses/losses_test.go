package losses

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// line writes a log line of a job, some milliseconds after the first.
func line(at int, message, fields string) string {
	return fmt.Sprintf(`12.5 host-1 {"time":"2026-03-18T22:21:%02d.%03dZ","msg":%q,"node":"host-1","job":"a"%s}`, at/1000, at%1000, message, fields)
}

func ended(at int, outcome string, took int) string {
	return line(at, "job_ended", fmt.Sprintf(`,"route":"r","outcome":%q,"took_ms":%d,"objective_ms":100,"estimate_ms":40,"work":40,"tasks":1`, outcome, took))
}

func started(at, age int) string {
	return line(at, "task_started", fmt.Sprintf(`,"task":"a.0.0.0","executor":"e","age_ms":%d`, age))
}

func taskEnded(at int, how string, age int) string {
	return line(at, "task_ended", fmt.Sprintf(`,"task":"a.0.0.0","executor":"e","detail":%q,"age_ms":%d`, how, age))
}

func TestCauses(t *testing.T) {
	type scenario struct {
		testName string
		lines    []string
		result   result
		cause    Cause // of one that isn't met
	}
	scenarios := []scenario{
		{testName: "met", lines: []string{started(1, 1), taskEnded(51, "done", 50), ended(60, "completed", 60)}, result: met},
		{testName: "host lost", lines: []string{line(1, "job_dispatched", "")}, result: unserved, cause: FrontLost},
		{testName: "refused", lines: []string{ended(60, "refused", 60)}, result: unserved, cause: Refused},
		{testName: "owner changed", lines: []string{line(1, "job_handed_on", ""), ended(160, "completed", 160)}, result: late, cause: OwnerChanged},
		{testName: "run failed", lines: []string{started(1, 1), taskEnded(51, "failed", 50), started(52, 52), taskEnded(150, "done", 98), ended(160, "completed", 160)}, result: late, cause: RunFailed},
		{testName: "target silent", lines: []string{started(1, 1), line(400, "lease_over", `,"task":"a.0.0.0"`), ended(460, "completed", 460)}, result: little, cause: TargetSilent},
		{testName: "target slow", lines: []string{started(1, 1), taskEnded(151, "done", 150), ended(160, "completed", 160)}, result: late, cause: TargetSlow},
		{testName: "waited for room", lines: []string{started(80, 80), taskEnded(130, "done", 50), ended(140, "completed", 140)}, result: late, cause: WaitedForRoom},
		{testName: "waited for room until its caller left", lines: []string{started(50, 50), ended(100, "expired", 100)}, result: unserved, cause: WaitedForRoom},
		{testName: "ran long", lines: []string{started(40, 40), taskEnded(110, "done", 70), ended(111, "completed", 111)}, result: late, cause: RanLong},
		{testName: "no owner in time", lines: []string{ended(1000, "expired", 1000)}, result: unserved, cause: NoOwner},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			r := NewReport()
			c.Assert(r.Read(strings.NewReader(strings.Join(s.lines, "\n"))), qt.IsNil)
			j := r.jobs["a"]
			c.Assert(j.result(), qt.Equals, s.result)
			if s.result != met {
				c.Assert(j.cause(), qt.Equals, s.cause)
			}
		})
	}
}

func TestTablesGroupJobsByRouteSizeDomainAndWindow(t *testing.T) {
	c := qt.New(t)
	lines := []string{`{"time":"2026-03-18T22:20:00Z","msg":"started","node":"host-1","domain":"north"}`}
	for i := range 10 {
		job := fmt.Sprintf("job%d", i)
		text := strings.ReplaceAll(ended(i*500, "completed", 60), `"job":"a"`, fmt.Sprintf(`"job":%q`, job))
		lines = append(lines, strings.ReplaceAll(text, `"work":40`, fmt.Sprintf(`"work":%d`, 40+i)))
	}
	r := NewReport()
	c.Assert(r.Read(strings.NewReader(strings.Join(lines, "\n"))), qt.IsNil)
	var out bytes.Buffer
	c.Assert(r.Write(&out), qt.IsNil)
	for _, want := range []string{`r, largest tenth +1 +1 `, `r, fifth below +2 +2 `, `r, others +7 +7 `, `north +10 +10 `, `\n +0 +4 `, `\n +4 +2 `} {
		c.Assert(out.String(), qt.Matches, `(?s).*`+want+`.*`)
	}
}
