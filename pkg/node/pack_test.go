package node

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPackRoundTrip(t *testing.T) {
	type scenario struct {
		testName string
		body     []byte
		atMost   int // bytes
	}
	scenarios := []scenario{
		{testName: "empty", atMost: 64},
		{testName: "a large configuration", body: bytes.Repeat([]byte(`{"name":"r-a7","host":"h.example","priority":1},`), 1500), atMost: 8_000},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			packed, err := pack(s.body)
			c.Assert(err, qt.IsNil)
			c.Assert(len(packed) <= s.atMost, qt.IsTrue, qt.Commentf("%d bytes", len(packed)))
			body, err := unpack(packed)
			c.Assert(err, qt.IsNil)
			c.Assert(bytes.Equal(body, s.body), qt.IsTrue)
		})
	}
}

func TestUnpackRejectsUncompressedInput(t *testing.T) {
	c := qt.New(t)
	_, err := unpack([]byte("{}"))
	c.Assert(err, qt.IsNotNil)
	body, err := unpack(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.HasLen, 0)
}
