package limit

// crowded is the part of an entry's places from which on services are held to
// their weights.
const crowded = 0.8

// Fits reports whether a service with own requests in hand may take one more
// of an entry's places, of which total of limit are taken. While the entry is
// not crowded anyone may; then a service may only up to its weighted part, so
// that one that floods the entry does not shut the others out.
func Fits(own, total, limit int, weight, totalWeight float64) bool {
	if total >= limit {
		return false
	}
	if float64(total) < crowded*float64(limit) || totalWeight <= 0 {
		return true
	}
	return float64(own) < float64(limit)*weight/totalWeight
}
