package explore

// shardCount is how many shards the table of states has; a power of two.
const shardCount = 64

// ref names a state: its shard, and its index there.
type ref uint32

// none is the ref of no state.
const none = ^ref(0)

func newRef(shard, index int) ref { return ref(index*shardCount + shard) }

func (r ref) shard() int { return int(r % shardCount) }
func (r ref) index() int { return int(r / shardCount) }

// shard holds the states whose hash is alike. One goroutine at a time changes it.
type shard struct {
	states       []state
	predecessors []ref // by state, the one from which it was reached first
	index        map[state]ref
	faultless    []reversedEdge // to states of this shard, from any
}

// reversedEdge leads from a state back to one before it.
type reversedEdge struct{ to, from ref }

// insert adds a state to the table.
func (e *explorer) insert(s state, from ref) ref {
	i := shardOf(&s)
	h := &e.shards[i]
	r := newRef(i, len(h.states))
	h.states, h.predecessors, h.index[s] = append(h.states, s), append(h.predecessors, from), r
	return r
}

func (e *explorer) state(r ref) state { return e.shards[r.shard()].states[r.index()] }

func (e *explorer) predecessor(r ref) ref { return e.shards[r.shard()].predecessors[r.index()] }
