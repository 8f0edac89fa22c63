package explore

// eventKind is what may happen.
type eventKind uint8

const (
	partSent eventKind = iota
	partEnded
	planReceived
	recordSent
	recordStored
	recordLost
	presenceGranted
	presenceOverLocally
	presenceOverInStore
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

// event is one thing that may happen. Which of the fields count depends on the kind.
type event struct {
	kind    eventKind
	actor   uint8 // a coordinator; for orderGiven an index of operatorOrders
	machine uint8
}

// String is the event's line in the path of a report.
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
		presenceOverLocally:    "the presence of " + who + " is over by its own clock",
		presenceOverInStore:    "the presence of " + who + " is over in the store",
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

// edge is one event and the state that it leads to.
type edge struct {
	event
	to    state
	fault bool // it is counted against Limits.Faults
}
