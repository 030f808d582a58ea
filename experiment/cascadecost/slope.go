package cascadecost

import "github.com/poplarshore/poplarshore/cascade"

// slope is the equal-slope rule with all parameters known in hindsight: the
// strong model's mean quality in each class, which classes are worth a cheap
// try, and the price of quality at which the target is just met. It knows
// nothing of single answers beforehand, so that its distance from the oracle is
// what foresight is worth, and that of a learning policy from it what learning
// costs.
type slope struct{}

func (slope) name() string { return "equal slope, tuned in hindsight" }

const slopeBisections = 24

func (slope) answer(s Setting, items []item, _ uint64) []answer {
	means := strongMeans(items)
	low, high := -1.0, 2.0
	for range slopeBisections {
		middle := (low + high) / 2
		if meanQuality(atSlope(s, items, means, middle)) >= s.Target {
			low = middle
		} else {
			high = middle
		}
	}
	return atSlope(s, items, means, low)
}

func strongMeans(items []item) map[cascade.Class]float64 {
	sum, n := make(map[cascade.Class]float64), make(map[cascade.Class]float64)
	for _, it := range items {
		sum[it.class] += it.quality[strong]
		n[it.class]++
	}
	for class := range sum {
		sum[class] /= n[class]
	}
	return sum
}

// atSlope gives up at most slack of quality for the cost of one mean strong
// answer, and leaves out cheap tries in classes where they cost more than they
// save, the quality given up included.
func atSlope(s Setting, items []item, means map[cascade.Class]float64, slack float64) []answer {
	reference := meanCost(items)
	saved := make(map[cascade.Class]float64)
	for _, it := range items {
		allowance := slack * it.cost[strong] / reference
		above := it.gate[cheap] - (means[it.class] - allowance)
		saved[it.class] -= it.cost[cheap]
		if it.rated[cheap] && above >= 0 {
			saved[it.class] += it.cost[strong] * min(1, above/max(allowance, 1e-6))
		}
	}
	answers := make([]answer, len(items))
	for i, it := range items {
		threshold := means[it.class] - slack*it.cost[strong]/reference
		if saved[it.class] <= 0 {
			answers[i] = single(it, strong)
			continue
		}
		answers[i] = fixed{threshold: threshold}.one(it)
	}
	return answers
}

func meanCost(items []item) float64 {
	sum := 0.0
	for _, it := range items {
		sum += it.cost[strong]
	}
	return sum / float64(len(items))
}
