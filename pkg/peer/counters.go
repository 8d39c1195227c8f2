package peer

import (
	"sync/atomic"

	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"github.com/foxcroft/foxcroft/pkg/traffic"
)

// Class groups the messages between entry hosts for counting.
type Class uint8

// The classes of messages.
const (
	ClassRecord   Class = iota // records and their replies
	ClassCopy                  // answers copied to backups
	ClassForward               // forwarded jobs, and their answers
	ClassBorrow                // requests for slots
	ClassLend                  // slots lent
	ClassReturn                // slots returned
	ClassSnapshot              // configurations and lists of executors
	ClassControl               // hello, heartbeats, fences
	classCount
)

var classNames = [classCount]string{"record", "copy", "forward", "borrow", "lend", "return", "news", "control"}

// String returns the name under which the class is counted.
func (c Class) String() string { return classNames[c] }

// Counters counts what this process sent to peers.
type Counters struct {
	Wire *traffic.Counter // counts all bytes of the links; may be nil

	frames [classCount]atomic.Uint64
	bytes  [classCount]atomic.Uint64

	notEncoded atomic.Uint64
}

// NotEncoded returns the number of messages that were dropped because they can't be encoded.
func (c *Counters) NotEncoded() uint64 { return c.notEncoded.Load() }

// Classes returns all classes.
func Classes() []Class {
	return []Class{ClassRecord, ClassCopy, ClassForward, ClassBorrow, ClassLend, ClassReturn, ClassSnapshot, ClassControl}
}

// Frames returns the number of frames sent, each counted for the class of its first
// message. Batching lowers it.
func (c *Counters) Frames(class Class) uint64 { return c.frames[class].Load() }

// Bytes returns the bytes of those frames.
func (c *Counters) Bytes(class Class) uint64 { return c.bytes[class].Load() }

func (c *Counters) sent(batch []*peerpb.Message, bytes int) {
	class := classOf(batch[0])
	c.frames[class].Add(1)
	c.bytes[class].Add(uint64(bytes))
}

func classOf(m *peerpb.Message) Class {
	switch m.Body.(type) {
	case *peerpb.Message_Record, *peerpb.Message_RecordReply:
		return ClassRecord
	case *peerpb.Message_Copy:
		return ClassCopy
	case *peerpb.Message_Submit, *peerpb.Message_Answer, *peerpb.Message_Cancel, *peerpb.Message_Ask,
		*peerpb.Message_Dispatch, *peerpb.Message_Outcome, *peerpb.Message_Withdraw, *peerpb.Message_HandOver,
		*peerpb.Message_Keep, *peerpb.Message_KeptQuery, *peerpb.Message_KeptReply, *peerpb.Message_Noted:
		return ClassForward
	case *peerpb.Message_FetchSnapshot, *peerpb.Message_Snapshot, *peerpb.Message_FetchConfig:
		return ClassSnapshot
	case *peerpb.Message_Borrow:
		return ClassBorrow
	case *peerpb.Message_Lend:
		return ClassLend
	case *peerpb.Message_Return:
		return ClassReturn
	}
	return ClassControl
}
