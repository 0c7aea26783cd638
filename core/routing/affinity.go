package routing

// affinity maps a prompt prefix to the server that last received it. It keeps two
// generations, so that dropping the older one bounds its size at constant cost.
type affinity struct {
	limit    int
	current  map[uint64]string
	previous map[uint64]string
}

func newAffinity(limit int) *affinity {
	return &affinity{limit: max(limit, 2), current: map[uint64]string{}}
}

func (a *affinity) get(prefix uint64) (string, bool) {
	if prefix == 0 {
		return "", false
	}
	if server, ok := a.current[prefix]; ok {
		return server, true
	}
	server, ok := a.previous[prefix]
	return server, ok
}

func (a *affinity) put(prefix uint64, server string) {
	if len(a.current) >= a.limit/2 {
		a.previous, a.current = a.current, map[uint64]string{}
	}
	a.current[prefix] = server
}
