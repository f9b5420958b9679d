package quota

// _shareSteps halves the interval of the fair rate often enough to come within 0.1 % of
// the rate.
const _shareSteps = 10

// fairRate returns the rate at which to cut off the wants of the parts, so that their sum
// is the total (max-min fairness), or the total if the sum is less.
func fairRate(parts map[string]*part, total int64) int64 {
	var sum int64
	for _, p := range parts {
		sum += p.want
	}
	if sum <= total {
		return total
	}
	low, high := total/int64(len(parts)), total
	for range _shareSteps {
		middle := low + (high-low)/2
		sum = 0
		for _, p := range parts {
			sum += min(p.want, middle)
		}
		if sum > total {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}
