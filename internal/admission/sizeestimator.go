package admission

// DefaultPartBytes is the estimated answer size of a part, in bytes, before the first answer of its class.
const DefaultPartBytes = 256 << 10

const (
	decreaseRate   = 0.1  // share of the difference by which a smaller answer lowers the learned size
	headroomFactor = 1.25 // estimates exceed the learned size by this factor
)

// SizeEstimator learns how many bytes the answer of a part takes, by class. The zero value is ready to use. It keeps one entry per
// class, so its size is bounded by the classes in the settings.
type SizeEstimator struct{ bytesPerPart map[string]float64 }

// Estimate returns the bytes to reserve for the answer of a query of the given number of parts.
func (s *SizeEstimator) Estimate(class string, parts int) int64 {
	perPart, known := s.bytesPerPart[class]
	if !known {
		return int64(parts) * DefaultPartBytes
	}
	return int64(perPart*headroomFactor*float64(parts)) + 1
}

// Record records the size of an answer. A size above the learned one replaces it at once; a smaller one lowers it gradually.
func (s *SizeEstimator) Record(class string, parts int, bytes int64) {
	if parts <= 0 {
		return
	}
	if s.bytesPerPart == nil {
		s.bytesPerPart = map[string]float64{}
	}
	observed := float64(bytes) / float64(parts)
	if perPart, known := s.bytesPerPart[class]; known && observed < perPart {
		observed = perPart - decreaseRate*(perPart-observed)
	}
	s.bytesPerPart[class] = observed
}
