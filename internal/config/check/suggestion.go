package check

const (
	// maxSuggestions limits the time spent on sets with many broken references, since
	// each suggestion compares with all names.
	maxSuggestions = 20

	maxDistance = 2 // Maximum edit distance between a name and its suggestion.
)

// suggest returns the known name with the smallest edit distance to name, the first
// in alphabetical order among equals, or an empty string if none is near enough.
func (c *checker) suggest(name string, known map[string]bool) string {
	if c.suggestions == maxSuggestions || len(name) > MaxNameSize {
		return ""
	}
	c.suggestions++
	best, least := "", min(maxDistance, len(name)/2)+1
	for k := range known {
		if k == "" || len(k) > MaxNameSize || len(k)-len(name) > maxDistance || len(name)-len(k) > maxDistance {
			continue
		}
		if d := distance(name, k); d < least || d == least && best != "" && k < best {
			best, least = k, d
		}
	}
	return best
}

// distance returns the Levenshtein distance between a and b in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
