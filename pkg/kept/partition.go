package kept

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Partitions is the number of partitions of kept jobs. It must never change: every host
// computes the partition of a job from its id. It is small, because group commits gain
// from more jobs in a group. The platform takes 150 transactions a second in each
// partition. With 25 jobs in a transaction, that is room for 3,700 jobs a second.
const Partitions = 8

// The tables of kept jobs. Each job has a row in one of them, under its id, in the part of
// its partition.
const (
	TableOpen  = "jobs"       // open jobs: accepted and not ended
	TableEnded = "jobs_ended" // completed, failed or cancelled jobs
)

// PartitionOf returns the number of the partition that a job belongs to.
func PartitionOf(id string) int { return int(xxhash.Sum64String(id) % Partitions) }

// PartOf returns the name of the tables' part that holds a partition.
func PartOf(partition int) string { return fmt.Sprintf("p%02d", partition) }
