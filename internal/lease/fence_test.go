package lease

import "fmt"

// Fence models a resource that is guarded by fencing tokens: it remembers the highest token that it has seen for each duty. In the
// program that resource is the replicated store, which checks tokens by statemachine.Condition.
type Fence struct{ highest map[string]uint64 }

// Check returns an error for a token that is lower than one used before.
func (f *Fence) Check(duty string, token uint64) error {
	if high := f.highest[duty]; token < high {
		return fmt.Errorf("duty %q: token %d is older than %d, which has been used", duty, token, high)
	}
	if f.highest == nil {
		f.highest = map[string]uint64{}
	}
	f.highest[duty] = token
	return nil
}
