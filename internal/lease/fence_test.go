package lease

import "fmt"

// Fence stands for a resource that acts for a duty: it knows the highest token that it has seen of each. The program's resource is
// the replicated store, which checks tokens by statemachine.Condition.
type Fence struct{ highest map[string]uint64 }

// Check returns an error for a token that is lower than one that was used.
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
