package explore

// Bug is a fault that can be seeded into the model, so that tests show that the explorer detects it. Its text identifies it in reports.
type Bug string

// The bugs that can be seeded; None seeds none.
const (
	None                 Bug = ""
	ClearEarly           Bug = "a machine is said to be clear while a part is out there"
	NoFencing            Bug = "the store takes moves under an old token and of an old plan"
	NoRevisionCheck      Bug = "an operator's word is written over a plan that has changed"
	NoExpiryCheck        Bug = "the holder alone judges that a coordinator is away"
	NoPresenceCheck      Bug = "called machines are sent to without presence"
	StartPresent         Bug = "a coordinator that starts takes itself for present"
	WaitForLeaderOnly    Bug = "a drain waits for the holder alone"
	IgnoreUnseenCalls    Bug = "a machine is drained before all have seen its call"
	GrantWithoutPlan     Bug = "presence counts before what was settled is known"
	NoWarmup             Bug = "a machine that comes back counts as warm at once"
	PauseReclaimsMachine Bug = "a pause takes back what is handed over"
	RestartLosesOverlay  Bug = "a restart forgets what may not be sent to"
	EarlyExpiry          Bug = "presence ends in the store while a part is out"
	SeenWithoutPresence  Bug = "a coordinator without presence says that it has seen a call"
	RestartRevertsPlan   Bug = "a restart brings an older plan back than was said to be seen"
)

// Bugs lists all bugs except None.
var Bugs = []Bug{ClearEarly, NoFencing, NoRevisionCheck, NoExpiryCheck, NoPresenceCheck, StartPresent, WaitForLeaderOnly, IgnoreUnseenCalls,
	GrantWithoutPlan, NoWarmup, PauseReclaimsMachine, RestartLosesOverlay, EarlyExpiry, SeenWithoutPresence, RestartRevertsPlan}
