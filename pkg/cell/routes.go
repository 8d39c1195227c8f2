package cell

// maxRoutes bounds what is learnt by route. Routes come and go with the
// configuration; beyond the bound all is learnt anew.
const maxRoutes = 1024

// byRoute holds what is learnt of each route.
type byRoute[T any] map[string]*T

// of returns what is learnt of a route, which may be nothing yet.
func (m byRoute[T]) of(route string) *T {
	learnt := m[route]
	if learnt == nil {
		if len(m) >= maxRoutes {
			clear(m)
		}
		learnt = new(T)
		m[route] = learnt
	}
	return learnt
}
