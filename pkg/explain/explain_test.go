package explain

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const id = "00112233445566ff"

func TestCauses(t *testing.T) {
	started := `{"time":"2026-03-18T22:21:16.1Z","msg":"task_started","node":"b","job":"00112233445566ff","task":"00112233445566ff.0.0.0","executor":"i-1","detail":"1"}`
	type scenario struct {
		testName string
		lines    []string
		want     string
	}
	scenarios := []scenario{
		{testName: "no lines", want: "no line tells of it: it never reached a host whose logs are here, or its lines were dropped"},
		{testName: "the front died", lines: []string{started}, want: "its front never answered: look for the front's last line, it was killed or cut off"},
		{testName: "completed", lines: []string{started, `{"time":"2026-03-18T22:21:17Z","msg":"job_ended","job":"00112233445566ff","outcome":"completed"}`}, want: "it completed"},
		{testName: "an executor failed its tasks", lines: []string{
			`{"time":"2026-03-18T22:21:18Z","msg":"job_ended","job":"00112233445566ff","outcome":"failed","reason":"task_failed"}`,
			started,
			`{"time":"2026-03-18T22:21:17Z","msg":"task_ended","job":"00112233445566ff","task":"00112233445566ff.0.0.0","executor":"i-1","detail":"failed"}`,
		}, want: "a task failed as often as it may: 00112233445566ff.0.0.0 on i-1"},
		{testName: "refused under a burst", lines: []string{`{"time":"2026-03-18T22:21:18Z","msg":"job_ended","job":"00112233445566ff","outcome":"refused","reason":"overloaded"}`},
			want: "it was refused at once: the work that ranks before it would take longer than its deadline"},
		{testName: "an owner died", lines: []string{
			`{"time":"2026-03-18T22:21:17Z","msg":"job_handed_on","job":"00112233445566ff","cell":"z","why":"lost","reason":"the link is down"}`,
			`{"time":"2026-03-18T22:21:18Z","msg":"job_ended","job":"00112233445566ff","outcome":"expired","reason":"caller_left"}`,
		}, want: "its caller left while it went from owner to owner: z (lost, the link is down)"},
		{testName: "its node was stopping", lines: []string{`{"time":"2026-03-18T22:21:18Z","msg":"job_ended","job":"00112233445566ff","outcome":"refused","reason":"stopping"}`}, want: "its node was stopping and could not have done it in time; nothing of it ran"},
		{testName: "its node stopped while it ran", lines: []string{started, `{"time":"2026-03-18T22:21:18Z","msg":"job_ended","job":"00112233445566ff","outcome":"expired","reason":"stopping"}`}, want: "its node stopped while tasks ran: 00112233445566ff.0.0.0 on i-1"},
		{testName: "a task stood still", lines: []string{started, `{"time":"2026-03-18T22:21:18Z","msg":"job_ended","job":"00112233445566ff","outcome":"expired","reason":"caller_left"}`},
			want: "its caller left while tasks ran: 00112233445566ff.0.0.0 on i-1"},
		{testName: "the lines of its parts are its own", lines: []string{
			`{"time":"2026-03-18T22:21:17Z","msg":"job_handed_on","job":"00112233445566ff/0-2","cell":"z","why":"lost","reason":"the link is down"}`,
			`{"time":"2026-03-18T22:21:18Z","msg":"job_ended","job":"00112233445566ff","outcome":"expired","reason":"caller_left"}`,
		}, want: "its caller left while it went from owner to owner: z (lost, the link is down)"},
		{testName: "other jobs and other text are passed over", lines: []string{
			"12.5 node-1 " + started, "no JSON 00112233445566ff", `{"msg":"job_ended","job":"ffffffffffffffff","reason":"00112233445566ff"}`,
		}, want: "its front never answered: look for the front's last line, it was killed or cut off"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			events, err := Read(nil, strings.NewReader(strings.Join(s.lines, "\n")), id)
			qt.Assert(t, err, qt.IsNil)
			story := Tell(events)
			qt.Assert(t, story.Cause, qt.Equals, s.want)
			var out bytes.Buffer
			qt.Assert(t, story.Write(&out), qt.IsNil)
			qt.Assert(t, strings.Contains(out.String(), "cause: "+s.want), qt.IsTrue)
		})
	}
}
