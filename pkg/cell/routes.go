package cell

// maxRoutes limits the number of routes with statistics. Routes come and go with the
// configuration; at the limit all statistics are discarded.
const maxRoutes = 1024

// byRoute holds statistics by route.
type byRoute[T any] map[string]*T

// of returns the statistics of a route, and creates them if there are none.
func (m byRoute[T]) of(route string) *T {
	statistics := m[route]
	if statistics == nil {
		if len(m) >= maxRoutes {
			clear(m)
		}
		statistics = new(T)
		m[route] = statistics
	}
	return statistics
}
