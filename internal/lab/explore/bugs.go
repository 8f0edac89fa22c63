package explore

// Bug is a rule that is broken on purpose, so that a test shows that the explorer finds the fault. Its text names it in reports.
type Bug string

// The seeded bugs.
const (
	None         Bug = ""
	ClearEarly   Bug = "a machine is said to be clear while a part is out there"
	NoFence      Bug = "the store takes moves under an old token and of an old plan"
	NoRevision   Bug = "an operator's word is written over a plan that has changed"
	GuessLapsed  Bug = "the holder alone judges that a coordinator is away"
	NoPermit     Bug = "called machines are sent to without presence"
	BootPresent  Bug = "a coordinator that starts takes itself for present"
	NotAll       Bug = "a drain waits for the holder alone"
	NotSeen      Bug = "a machine is drained before all have seen its call"
	StaleGrant   Bug = "presence counts before what was settled is known"
	WarmAtOnce   Bug = "a machine that comes back counts as warm at once"
	TakeBackOut  Bug = "a pause takes back what is handed over"
	LostOverlay  Bug = "a restart forgets what may not be sent to"
	LapseTooSoon Bug = "presence ends in the store while a part is out"
	SeenAway     Bug = "a coordinator without presence says that it has seen a call"
	LostPlan     Bug = "a restart brings an older plan back than was said to be seen"
)

// Bugs are all seeded bugs.
var Bugs = []Bug{ClearEarly, NoFence, NoRevision, GuessLapsed, NoPermit, BootPresent, NotAll, NotSeen, StaleGrant, WarmAtOnce, TakeBackOut,
	LostOverlay, LapseTooSoon, SeenAway, LostPlan}
