package platform

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
)

// parseLoadReport parses a load report: comma-separated name=value pairs, or a JSON object. Fields that are not finite
// numbers are skipped.
func parseLoadReport(text string) map[string]float64 {
	if strings.HasPrefix(text, "{") {
		return parseJSONLoadReport(text)
	}
	report := map[string]float64{}
	for _, field := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(field, "=")
		if x, err := strconv.ParseFloat(value, 64); ok && err == nil && !math.IsNaN(x) && !math.IsInf(x, 0) {
			report[name] = x
		}
	}
	return report
}

func parseJSONLoadReport(text string) map[string]float64 {
	report := map[string]float64{}
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return report
	}
	for name, value := range fields {
		if x, ok := value.(float64); ok {
			report[name] = x
		}
	}
	return report
}
