package keeping

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/tables"
)

// rowsOf are the rows of one job. The open row is read first, so that a job that ends
// between the two reads is found among the ended ones.
type rowsOf struct {
	open  *tables.Row // nil if absent
	ended *tables.Row // nil if absent; not read if the job is open
	began time.Duration
}

// readRows reads the rows of a job.
func (s *Service) readRows(ctx context.Context, id string) (rowsOf, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows := rowsOf{began: s.Clock.Now()}
	var err error
	rows.open, err = s.readRow(ctx, kept.TableOpen, id)
	if err != nil || rows.open != nil {
		return rows, err
	}
	rows.ended, err = s.readRow(ctx, kept.TableEnded, id)
	return rows, err
}

// StoredEnds returns what the rows of a job hold of the ends of its tasks, for the owner of a cell.
func (s *Service) StoredEnds(ctx context.Context, id, cellName string) (job.StoredEnds, error) {
	rows, err := s.readRows(ctx, id)
	if err != nil {
		return job.StoredEnds{}, err
	}
	if rows.open == nil {
		return job.StoredEnds{Final: true}, nil
	}
	record, err := codec{}.DecodeRecord(id, rows.open.Value)
	if err != nil {
		return job.StoredEnds{Elsewhere: true}, nil
	}
	_, progress := jobOf(&record, 0, s.Clock.Now())
	return job.StoredEnds{Elsewhere: record.Cell != cellName, Progress: progress}, nil
}

// readRow reads a row of a job, or returns nil if it is absent.
func (s *Service) readRow(ctx context.Context, table, id string) (*tables.Row, error) {
	row, found, err := s.store.ReadRow(ctx, table, kept.PartOf(kept.PartitionOf(id)), id)
	if err != nil || !found {
		return nil, err
	}
	return &row, nil
}

// openRows are the rows of the open jobs of a partition.
type openRows struct {
	rows  []tables.Row
	began time.Duration
	now   time.Duration // the store's clock
}

// readOpen reads all rows of the open jobs of a part, page by page.
func (s *Service) readOpen(ctx context.Context, part string) (openRows, error) {
	all := openRows{began: s.Clock.Now()}
	from := ""
	for {
		page, err := s.readPage(ctx, part, from)
		if err != nil {
			return all, err
		}
		all.rows = append(all.rows, page.Rows...)
		all.now = page.Now
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

// readPage reads the open rows of a part from a key on, as many as the store returns at
// once.
func (s *Service) readPage(ctx context.Context, part, from string) (tables.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.store.Read(ctx, kept.TableOpen, part, from)
}
