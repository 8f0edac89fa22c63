package admission

// DefaultPartBytes is what a part of a class is taken to need before any was answered.
const DefaultPartBytes = 256 << 10

const (
	sizeDecay = 0.1  // of what is expected too much, forgotten with each answer
	sizeSlack = 1.25 // of what was seen, kept free besides
)

// SizeEstimator learns how many bytes a part of each class needs. Its zero value knows nothing. It grows by the classes that it
// is told of, which are the settings'.
type SizeEstimator struct{ part map[string]float64 }

// Expect is the room to ask for, for a query of so many parts.
func (s *SizeEstimator) Expect(class string, parts int) int64 {
	each, known := s.part[class]
	if !known {
		return int64(parts) * DefaultPartBytes
	}
	return int64(each*sizeSlack*float64(parts)) + 1
}

// Learn takes in the size of an answer. More than was expected counts at once, less slowly.
func (s *SizeEstimator) Learn(class string, parts int, bytes int64) {
	if parts <= 0 {
		return
	}
	if s.part == nil {
		s.part = map[string]float64{}
	}
	seen := float64(bytes) / float64(parts)
	if each, known := s.part[class]; known && seen < each {
		seen = each - sizeDecay*(each-seen)
	}
	s.part[class] = seen
}
