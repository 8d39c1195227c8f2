package kept

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/tables"
)

const ms = time.Millisecond

// jsonCodec encodes rows as JSON, so that tests can read them.
type jsonCodec struct{}

func (jsonCodec) EncodeRecord(record Record) []byte { return encode(record) }
func (jsonCodec) EncodeEnd(end End) []byte          { return encode(end) }

func (jsonCodec) DecodeRecord(id string, value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, err
}

func (jsonCodec) DecodeEnd(value []byte) (End, error) {
	var end End
	err := json.Unmarshal(value, &end)
	if err == nil && !end.State.Ended() {
		err = errors.New("no final state")
	}
	return end, err
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// modelStore is an in-memory model of one part of the platform's tables.
type modelStore struct {
	rows    map[string]tables.Row // by table and key
	version uint64
	commits int
}

func newModelStore() *modelStore { return &modelStore{rows: map[string]tables.Row{}} }

func rowName(table, key string) string { return table + "/" + key }

func (s *modelStore) row(table, key string) *tables.Row {
	if row, ok := s.rows[rowName(table, key)]; ok {
		return &row
	}
	return nil
}

// commit applies a transaction, or refuses it and returns the rows of its conditions.
func (s *modelStore) commit(t tables.Transaction, now time.Duration) (tables.Result, error) {
	var current []tables.Row
	holds := true
	for _, condition := range t.Expect {
		row, present := s.rows[rowName(condition.Table, condition.Key)]
		holds = holds && row.Version == condition.Version
		if present {
			current = append(current, row)
		}
	}
	if !holds {
		return tables.Result{Now: now, Conflicts: current}, errkind.New(errkind.Conflict, "read the rows", "a condition does not hold")
	}
	s.version++
	s.commits++
	for _, row := range t.Put {
		row.Version = s.version
		s.rows[rowName(row.Table, row.Key)] = row
	}
	for _, removed := range t.Remove {
		delete(s.rows, rowName(removed.Table, removed.Key))
	}
	return tables.Result{Version: s.version, Now: now}, nil
}

// read returns the rows of a table in key order.
func (s *modelStore) read(table string) []tables.Row {
	var rows []tables.Row
	for _, row := range s.rows {
		if row.Table == table {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b tables.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

var (
	errDown  = errkind.New(errkind.PlatformDown, "try again", "nothing was done")
	errMaybe = errkind.New(errkind.PlatformMaybe, "try again", "no answer")
)
