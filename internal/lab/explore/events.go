package explore

// eventKind is the kind of an event.
type eventKind uint8

const (
	partSent eventKind = iota
	partEnded
	planReceived
	recordSent
	recordStored
	recordLost
	presenceGranted
	presenceEndedLocally
	presenceEndedInStore
	coordinatorCrashed
	coordinatorPartitioned
	coordinatorPaused
	coordinatorStarted
	partitionHealed
	coordinatorResumed
	machineFailed
	machineRecovered
	maintenanceDone
	leaderChanged
	movesMade
	overdueMovesMade
	movesStored
	movesLost
	orderGiven
	orderStored
)

// event is a possible step of the fleet. Its kind determines which of the other fields are used.
type event struct {
	kind    eventKind
	actor   uint8 // index of a coordinator; for orderGiven, an index into operatorOrders
	machine uint8 // index of a machine
}

// String returns the line for the event in the path of a report.
func (e event) String() string {
	if e.kind == orderGiven {
		return e.orderText()
	}
	who, machine := coordinatorName(int(e.actor)), machineID(int(e.machine))
	texts := map[eventKind]string{
		partSent:               who + " sends a part to " + machine,
		partEnded:              "the part of " + who + " at " + machine + " ends",
		planReceived:           who + " hears the plan",
		recordSent:             who + " says what it has seen and where it is clear",
		recordStored:           "what " + who + " said is in the store",
		recordLost:             "what " + who + " said is lost",
		presenceGranted:        who + " is granted its presence",
		presenceEndedLocally:   "the presence of " + who + " is over by its own clock",
		presenceEndedInStore:   "the presence of " + who + " is over in the store",
		coordinatorCrashed:     who + " crashes",
		coordinatorPartitioned: who + " is cut off from the store",
		coordinatorPaused:      who + " is paused",
		coordinatorStarted:     who + " starts again",
		partitionHealed:        who + " is no longer cut off",
		coordinatorResumed:     who + " wakes",
		machineFailed:          machine + " fails",
		machineRecovered:       machine + " is sound",
		maintenanceDone:        "the work on " + machine + " is done, it starts cold",
		leaderChanged:          "the duty passes on",
		movesMade:              who + " makes moves",
		overdueMovesMade:       who + " makes moves, and what is out is out for too long",
		movesStored:            "the moves of " + who + " reach the store",
		movesLost:              "the moves of " + who + " are lost",
		orderStored:            "the operator's word reaches the store",
	}
	return texts[e.kind]
}

func (e event) orderText() string {
	if order := operatorOrders[e.actor]; order != orderDone {
		return "an operator says " + order
	}
	return "an operator says that " + machineID(int(e.machine)) + " is done"
}

// edge is an event and the state that it leads to.
type edge struct {
	event
	to    state
	fault bool // counts against Limits.Faults
}
