package common

import "testing"

// sink discards lines. With io.Discard the logger skips formatting them.
type sink struct{}

func (sink) Write(p []byte) (int, error) { return len(p), nil }

// BenchmarkLogLine logs a line with the fields of a cell's task_started event.
func BenchmarkLogLine(b *testing.B) {
	logger, err := NewLogger(sink{}, "info")
	if err != nil {
		b.Fatal(err)
	}
	logger = logger.With("node", "edge-bogota-norte-1")
	for b.Loop() {
		logger.Info("task_started", "cell", "bogota-norte", "executor", "i-7f6aeffe52", "job", "0970147b35a81e6d", "task", "0970147b35a81e6d.0.0.1", "detail", "1", "age_ms", int64(12))
	}
}
