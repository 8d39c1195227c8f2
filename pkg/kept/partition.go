package kept

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Partitions is the number of partitions of kept jobs, for good: the partition of
// a job is worked out from its id by every host at any time. A group commit gains
// by jobs that come together, so there are few; the platform takes 150 transactions
// a second in each, which at 25 jobs a transaction is room for 3,700 jobs a second.
const Partitions = 8

// The tables of kept jobs. A job stands in one of them, under its id, in the part
// of its partition.
const (
	TableOpen  = "jobs"       // accepted and not ended
	TableEnded = "jobs_ended" // completed, failed or cancelled
)

// PartitionOf returns the partition of a job.
func PartitionOf(id string) int { return int(xxhash.Sum64String(id) % Partitions) }

// PartOf returns the name of a partition's part of the tables.
func PartOf(partition int) string { return fmt.Sprintf("p%02d", partition) }
