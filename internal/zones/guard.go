package zones

// allSuspect tells whether every zone of several is suspect at once, which switches panic mode on. It guards against a
// fault of the coordinator itself, such as a lost network, that makes all zones look failed: without it zones would go out
// although their data nodes serve, which shows as queries rejected with "no replica".
func (t *Tracker) allSuspect() bool {
	if len(t.zones) < 2 {
		return false
	}
	for _, z := range t.zones {
		if !t.exceeds(z, t.cfg.Doubt) {
			return false
		}
	}
	return true
}

// remaining tells how many of all data nodes would remain outside zones that are out if z went out, and whether that is
// enough. It guards against load that the rest can't bear: a second zone that fails stays in use, which shows as `zone
// doubtful` with "kept by the guard". A zone that recovers counts as out until it is healthy, as it takes little load and
// may fail again.
func (t *Tracker) remaining(z *zone, total int) (nodes int, enough bool) {
	nodes = total - len(z.nodes)
	for _, other := range t.zones {
		if other != z && (other.state == Out || other.state == Recovering) {
			nodes -= len(other.nodes)
		}
	}
	return nodes, ratio(nodes, total) >= t.cfg.Keep
}
