package ownership

// PickByHash returns the host that ranks first for a key by rendezvous hashing, weighted as
// for cells. It reports false when all hosts are leaving.
func PickByHash(key string, hosts []Host) (Host, bool) {
	var best Host
	bestScore := 0.0
	found := false
	for _, host := range hosts {
		if host.Leaving {
			continue
		}
		score := weightedScore(key, host, 0)
		if !found || score > bestScore {
			best, bestScore, found = host, score, true
		}
	}
	return best, found
}
