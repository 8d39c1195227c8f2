package relayd

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLossHitsSomePiecesOfSomeConnections(t *testing.T) {
	loss := Loss{Conns: 3, Pieces: 4, Late: 200 * time.Millisecond}
	scenarios := []struct {
		testName string
		loss     Loss
		number   int
		piece    int
		expected time.Duration
	}{
		{testName: "no loss", number: 3, piece: 4, expected: 0},
		{testName: "another connection", loss: loss, number: 2, piece: 4, expected: 0},
		{testName: "a piece that comes in time", loss: loss, number: 3, piece: 3, expected: 0},
		{testName: "a piece that comes late", loss: loss, number: 3, piece: 4, expected: loss.Late},
		{testName: "a later one", loss: loss, number: 6, piece: 8, expected: loss.Late},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, s.loss.lateBy(s.number, s.piece), qt.Equals, s.expected)
		})
	}
}
