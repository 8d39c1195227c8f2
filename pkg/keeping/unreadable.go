package keeping

import (
	"github.com/cespare/xxhash/v2"
	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/tables"
)

// reportUnreadable counts and logs a row of a job that cannot be decoded, once for each
// content.
func (s *Service) reportUnreadable(row tables.Row, text string) {
	unreadable := catalog.Unreadable{Key: row.Key, Reason: catalog.NoDocument, Content: xxhash.Sum64(row.Value)}
	report := s.rowLog.Take(row.Table, []catalog.Unreadable{unreadable}, s.Clock.Now())
	for range report.Counted {
		s.meter.RowsUnreadable(row.Table, string(unreadable.Reason), 1)
	}
	for range report.Logged {
		s.Log.Error("kept_row_unreadable", "job", row.Key, "part", kept.PartOf(kept.PartitionOf(row.Key)), "table", row.Table, "error", text)
	}
}

// isReadable reports whether the row of an open job can be decoded, and otherwise reports
// the row.
func (s *Service) isReadable(open *tables.Row) bool {
	_, err := codec{}.DecodeRecord(open.Key, open.Value)
	if err != nil {
		s.reportUnreadable(*open, err.Error())
	}
	return err == nil
}

// undetermined returns the answer about a job of which no readable row says how it ended or
// whether it is open.
func undetermined(reason string) kept.Answer {
	return kept.Answer{Verdict: kept.Unknown, Reason: reason, RetryAfter: retryDelay}
}
