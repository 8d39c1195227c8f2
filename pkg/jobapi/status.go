package jobapi

// HostStatus is the reply to GET /v1/status.
type HostStatus struct {
	Name        string            `json:"name"`
	Domain      string            `json:"domain"`
	Incarnation string            `json:"incarnation"`
	Version     uint64            `json:"config_version"`
	Leaving     bool              `json:"leaving"`
	Jobs        int               `json:"jobs"`         // in progress
	IDs         int               `json:"ids"`          // job ids on record
	CPUSeconds  float64           `json:"cpu_seconds"`  // used by the process
	MemoryBytes uint64            `json:"memory_bytes"` // obtained from the operating system
	Peers       []PeerStatus      `json:"peers"`
	Pools       []PoolStatus      `json:"pools"`
	Messages    map[string]uint64 `json:"peer_messages"` // sent, by class
	Bytes       map[string]uint64 `json:"peer_bytes"`    // sent, by class
}

// PeerStatus is another entry host as seen from the one that replies.
type PeerStatus struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Version uint64 `json:"config_version"`
	Waiting int    `json:"waiting"` // tasks
	Free    int    `json:"free"`    // slots
	Leaving bool   `json:"leaving"`
	Backup  bool   `json:"backup"` // it is the backup of the one that replies
}

// PoolStatus is a pool as seen from the host that replies.
type PoolStatus struct {
	Name     string   `json:"name"`
	Waiting  int      `json:"waiting"` // tasks
	Busy     int      `json:"busy"`    // slots
	Free     int      `json:"free"`    // slots
	Suspects []string `json:"suspects,omitempty"`
}
