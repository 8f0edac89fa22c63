package explore

// The size of the fleet: the smallest in which one coordinator leads while another is absent, and two machines may be out together.
const (
	coordinatorCount = 2
	machineCount     = 3
	allMachines      = 1<<machineCount - 1 // as a set of machines
)

// flags is a set of conditions of a coordinator.
type flags uint8

const (
	alive         flags = 1 << iota // its process has not crashed
	partitioned                     // it can't reach the store
	paused                          // its process is suspended
	present                         // it has presence by its own clock
	expired                         // its presence has ended by the store's clock
	recordPending                   // its record is on the way to the store
	planLost                        // it knows no plan; set only by a seeded bug
)

// record is a coordinator's report to the store.
type record struct {
	seen  uint8               // number of calls that it has seen
	clear [machineCount]uint8 // by machine: the turn of the drain for which it has no part in flight there
}

// writeKind states who makes a write.
type writeKind uint8

const (
	noWrite       writeKind = iota
	movesWrite              // the leader's moves
	operatorWrite           // an operator's order
)

// write is a plan on its way to the store.
type write struct {
	kind    writeKind
	plan    planID
	stale   bool  // the store's plan has changed since the write was made
	fenced  bool  // the leader has changed since the write was made
	expired uint8 // set of coordinators whose presence must have ended in the store for the write to be accepted
}

// coordinator is the state of one coordinator, including its messages on the way to the store.
type coordinator struct {
	flags    flags
	inFlight uint8  // set of machines at which it has a part in flight
	plan     planID // its copy of the plan
	stored   record // its record in the store
	pending  record // its record on the way to the store
	moves    write  // its moves on the way to the store
}

// state is a state of the fleet. States are compared by all fields, so a field that can't affect later states must be zero.
type state struct {
	plan         planID              // the plan in the store
	leader       uint8               // index of the leading coordinator
	faults       uint8               // number of faults that may still occur
	orders       uint8               // number of operators' orders that may still occur
	sends        uint8               // number of parts that may still be sent
	handedOver   uint8               // set of machines that are handed over, regardless of the current plan
	warming      uint8               // set of machines that returned and are still warming up
	unhealthy    uint8               // set of machines that have failed
	started      [machineCount]uint8 // start counter of each machine
	coordinators [coordinatorCount]coordinator
	order        write // an operator's order on its way to the store
}

func (c *coordinator) is(f flags) bool { return c.flags&f != 0 }

// running reports whether the coordinator's process makes progress.
func (c *coordinator) running() bool { return c.flags&(alive|paused) == alive }

// online reports whether the coordinator runs and reaches the store.
func (c *coordinator) online() bool { return c.running() && !c.is(partitioned) }

// has reports whether a set contains a machine or coordinator.
func has(set uint8, i int) bool { return set&(1<<i) != 0 }

func machineID(i int) string { return string([]byte{'m', '0' + byte(i)}) }

func machineIndex(id string) int { return int(id[1] - '0') }

func coordinatorName(i int) string { return string([]byte{'a' + byte(i)}) }

func coordinatorIndex(name string) int { return int(name[0] - 'a') }
