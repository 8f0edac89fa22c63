package admission

// This file owns what is known of the sizes of answers, so that room is asked for before a query is and not once its
// answer has come. It must never expect less of a class than it was last seen to need.

// Unknown is what a part of a class is taken to need before any was answered.
const Unknown = 256 << 10

const (
	sizeFade  = 0.1  // of what is expected too much, forgotten with each answer
	sizeSlack = 1.25 // of what was seen, kept free besides
)

// Sizes learns how many bytes a part of each class needs. Its zero value knows nothing. It grows by the classes that it
// is told of, which are the settings'.
type Sizes struct{ part map[string]float64 }

// Expect is the room to ask for, for a query of so many parts.
func (s *Sizes) Expect(class string, parts int) int64 {
	each, known := s.part[class]
	if !known {
		return int64(parts) * Unknown
	}
	return int64(each*sizeSlack*float64(parts)) + 1
}

// Learn takes in the size of an answer. More than was expected counts at once, less slowly.
func (s *Sizes) Learn(class string, parts int, bytes int64) {
	if parts <= 0 {
		return
	}
	if s.part == nil {
		s.part = map[string]float64{}
	}
	seen := float64(bytes) / float64(parts)
	if each, known := s.part[class]; known && seen < each {
		seen = each - sizeFade*(each-seen)
	}
	s.part[class] = seen
}
