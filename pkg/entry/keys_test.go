package entry

import (
	"context"
	"testing"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/metrics"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/platform"
	qt "github.com/frankban/quicktest"
)

// boundTable is a table in which the key is already bound, by a row that may be invalid.
type boundTable struct {
	platform.Table
	row platform.Row
}

func (b boundTable) Commit(context.Context, []platform.Write) error {
	return errkind.New(errkind.Conflict, "read the row", "the row is there")
}

func (b boundTable) Get(context.Context, string) (platform.Row, error) { return b.row, nil }

// Guards against refusing a key whose row can't be read: it is bound, so its job may
// have run.
func TestKeyOfUnreadableRowIsNotRefused(t *testing.T) {
	scenarios := []struct {
		testName string
		value    string
	}{
		{"empty", ""},
		{"not an id", "<html>"},
		{"an id cut off", "v1~co"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			k := newKeys(common.NewTestCommon(), boundTable{row: platform.Row{Key: "key/s/t/k", Value: []byte(s.value), Version: 1}}, 0)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go k.run(ctx)
			_, err := k.bind(ctx, metrics.Labels{Service: "s", Team: "t"}, "k", once.ID{})
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, outcomeOfError(err).Outcome, qt.Equals, once.Unknown, qt.Commentf("%v", err))
		})
	}
}

// Guards against refusing a key because no id can be minted for it: it may already be
// bound, and its job may have run.
func TestKeyIsNotRefusedWithoutAnID(t *testing.T) {
	scenarios := []struct {
		testName string
		id       string
		outcome  once.Outcome
	}{
		{"a plain key", "k", once.Unknown},
		{"no id, so that nothing ran under it", "", once.Refused},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := common.NewTestCommon()
			h := &Host{Common: c, conf: newConf(c, func(*activeConfig) {}), keys: newKeys(c, nil, 0)} // it has no configuration yet
			_, answer := h.submit(context.Background(), s.id, &request{labels: metrics.Labels{Service: "s", Team: "t"}})
			qt.Assert(t, answer.Outcome, qt.Equals, s.outcome)
			qt.Assert(t, answer.RetryAfter > 0, qt.IsTrue)
		})
	}
}
