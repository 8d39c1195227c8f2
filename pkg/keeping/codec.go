package keeping

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/jobwire"
	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"google.golang.org/protobuf/proto"
)

// codec implements kept.Codec with protobuf messages.
type codec struct{}

// EncodeRecord implements kept.Codec.
func (codec) EncodeRecord(record kept.Record) []byte {
	row := &peerpb.KeptJob{
		Job:        record.Job,
		Cell:       record.Cell,
		From:       record.From,
		AcceptedUs: record.AcceptedAt.Microseconds(),
		Epoch:      uint32(record.Epoch),
	}
	return encode(row)
}

// DecodeRecord implements kept.Codec.
func (codec) DecodeRecord(id string, value []byte) (kept.Record, error) {
	row := &peerpb.KeptJob{}
	if err := proto.Unmarshal(value, row); err != nil {
		return kept.Record{}, errkind.Wrap(err, errkind.BadRequest, "remove the row if another program wrote it", "the row of job %s is not a valid kept job", id)
	}
	m := &peerpb.Dispatch{}
	if err := proto.Unmarshal(row.Job, m); err != nil || m.Id != id || row.Cell == "" {
		return kept.Record{}, errkind.New(errkind.BadRequest, "remove the row if another program wrote it", "the row of job %s holds another job or names no cell", id)
	}
	if err := jobwire.FromDispatch(m, 0).Check(); err != nil {
		return kept.Record{}, errkind.Wrap(err, errkind.BadRequest, "remove the row if another program wrote it", "the row of job %s holds a job that can't be carried out", id)
	}
	return kept.Record{
		ID:         id,
		Cell:       row.Cell,
		From:       row.From,
		AcceptedAt: common.Microseconds(row.AcceptedUs),
		Epoch:      int(row.Epoch),
		Job:        row.Job,
	}, nil
}

// EncodeEnd implements kept.Codec.
func (codec) EncodeEnd(end kept.End) []byte {
	return encode(&peerpb.KeptEnd{State: uint32(end.State), Cell: end.Cell, EndedUs: end.At.Microseconds()})
}

// DecodeEnd implements kept.Codec.
func (codec) DecodeEnd(value []byte) (kept.End, error) {
	row := &peerpb.KeptEnd{}
	if err := proto.Unmarshal(value, row); err != nil {
		return kept.End{}, errkind.Wrap(err, errkind.BadRequest, "remove the row if another program wrote it", "the row of an ended job cannot be decoded")
	}
	end := kept.End{State: kept.StateOf(row.State), Cell: row.Cell, At: common.Microseconds(row.EndedUs)}
	if !end.State.Ended() {
		return kept.End{}, errkind.New(errkind.BadRequest, "start a build that knows the state, or remove the row if another program wrote it", "the row of an ended job has the state %d, which is no final one of this build", row.State)
	}
	return end, nil
}

func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err) // fails only on text that is not UTF-8, which JSON cannot contain
	}
	return data
}

// encodeJob encodes a job with the progress of its tasks for its row. The row may be read at any
// later time, so it doesn't hold for how long runs may be active.
func encodeJob(j *job.Job, progress []job.Progress) []byte {
	m := jobwire.ToDispatch(j, "", 0, progress, 0, j.Received)
	for _, p := range m.Progress {
		p.Executor, p.ActiveUs = "", 0
	}
	m.AgeUs, m.TimeLeftUs = 0, 0
	return encode(m)
}

// noDeadline stands for the deadline of a kept job, which has none.
const noDeadline = 10 * 365 * 24 * time.Hour

// jobOf decodes the job of a record and the progress of its tasks, with times on the clock
// of this process. It panics on undecodable records: DecodeRecord has checked them.
func jobOf(record *kept.Record, age, now time.Duration) (*job.Job, []job.Progress) {
	m := &peerpb.Dispatch{}
	if err := proto.Unmarshal(record.Job, m); err != nil {
		panic(err)
	}
	j := jobwire.FromDispatch(m, now)
	j.Kept = true
	j.Received = now - age
	j.Deadline = now + noDeadline
	return j, jobwire.FromProgress(m.Progress)
}
