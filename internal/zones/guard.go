package zones

// allSuspect reports whether there are several zones and all are suspect at once, which switches panic mode on. It guards
// against a fault of the coordinator itself, such as a lost network, that makes all zones look failed: without it, zones
// whose data nodes serve would be taken out, which shows as queries rejected with "no replica".
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

// remainingNodes returns how many data nodes would remain in use if z were taken out, and whether that is enough by
// Config.Keep; total is the number of data nodes in all zones. It guards against overloading the remaining data nodes: a
// second zone that fails stays in use, which shows as `zone doubtful` with "kept by the guard". A recovering zone counts as
// out until it is healthy, since it takes little load and may fail again.
func (t *Tracker) remainingNodes(z *zone, total int) (nodes int, enough bool) {
	nodes = total - len(z.nodes)
	for _, other := range t.zones {
		if other != z && (other.state == Out || other.state == Recovering) {
			nodes -= len(other.nodes)
		}
	}
	return nodes, ratio(nodes, total) >= t.cfg.Keep
}
