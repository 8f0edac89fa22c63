package explore

// shardCount is the number of shards of the table of states; a power of two.
const shardCount = 64

// ref refers to a state by its shard and its index there.
type ref uint32

// none is the ref of no state.
const none = ^ref(0)

func newRef(shard, index int) ref { return ref(index*shardCount + shard) }

func (r ref) shard() int { return int(r % shardCount) }
func (r ref) index() int { return int(r / shardCount) }

// shard holds the states whose hash selects it. Only one goroutine at a time modifies it.
type shard struct {
	states       []state
	predecessors []ref // by state index: the state from which it was reached first
	index        map[state]ref
	faultless    []reversedEdge // edges without a fault to states of this shard from any shard
}

// reversedEdge leads from a state back to one of its predecessors.
type reversedEdge struct{ to, from ref }

// insert adds a state to the table and returns its ref.
func (e *explorer) insert(s state, from ref) ref {
	i := shardOf(&s)
	h := &e.shards[i]
	r := newRef(i, len(h.states))
	h.states, h.predecessors, h.index[s] = append(h.states, s), append(h.predecessors, from), r
	return r
}

func (e *explorer) state(r ref) state { return e.shards[r.shard()].states[r.index()] }

func (e *explorer) predecessor(r ref) ref { return e.shards[r.shard()].predecessors[r.index()] }
