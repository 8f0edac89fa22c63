package explore

// The fleet: the least in which one coordinator can lead while another is away, and in which two machines may go out together.
const (
	coordinatorCount = 2
	machineCount     = 3
	allMachines      = 1<<machineCount - 1 // as a set of machines
)

// flags say what a coordinator is.
type flags uint8

const (
	alive         flags = 1 << iota // its process runs
	partitioned                     // it is cut off from the store
	paused                          // its process stands still
	present                         // it is present by its own clock
	expired                         // its presence is over by the store's clock
	recordPending                   // a record of it is on its way to the store
	planLost                        // it knows of no plan; only a seeded bug sets this
)

// record is what a coordinator reports to the store.
type record struct {
	seen  uint8               // calls that it has seen
	clear [machineCount]uint8 // by machine, the turn of the drain for which it has nothing in flight there
}

// writeKind is who makes a write.
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
	fenced  bool  // the leadership has passed on since
	expired uint8 // set of coordinators whose presence has to be over for the write to be taken
}

// coordinator is one coordinator, and what of it is on its way to the store.
type coordinator struct {
	flags    flags
	inFlight uint8  // set of machines where a part of it is in flight
	plan     planID // its copy of the plan
	stored   record // its record in the store
	pending  record // its record on the way to the store
	moves    write
}

// state is one state of the fleet. States are compared whole, so that a field which can't matter to what follows is zero.
type state struct {
	plan         planID // in the store
	leader       uint8
	faults       uint8 // that may still happen
	orders       uint8 // of operators, that may still happen
	sends        uint8 // that may still happen
	handedOver   uint8 // set of machines in somebody's hands, whatever the plan says now
	warming      uint8 // set of machines that came back and are not warm
	unhealthy    uint8 // set of machines that failed
	started      [machineCount]uint8
	coordinators [coordinatorCount]coordinator
	order        write // an operator's order on its way to the store
}

func (c *coordinator) is(f flags) bool { return c.flags&f != 0 }

// running tells whether the coordinator's process makes progress.
func (c *coordinator) running() bool { return c.flags&(alive|paused) == alive }

// online tells whether the coordinator runs and reaches the store.
func (c *coordinator) online() bool { return c.running() && !c.is(partitioned) }

// has tells whether a set has a machine or coordinator.
func has(set uint8, i int) bool { return set&(1<<i) != 0 }

func machineID(i int) string { return string([]byte{'m', '0' + byte(i)}) }

func machineIndex(id string) int { return int(id[1] - '0') }

func coordinatorName(i int) string { return string([]byte{'a' + byte(i)}) }

func coordinatorIndex(name string) int { return int(name[0] - 'a') }
