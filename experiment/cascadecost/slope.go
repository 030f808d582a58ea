package cascadecost

import "github.com/poplarshore/poplarshore/cascade"

// equalSlope accepts the same loss of quality per unit of cost saved in every class.
// Its parameters are computed from the whole workload: the strong model's mean
// quality in each class, the classes in which trying the cheap model saves cost, and
// the loss at which the quality target is just met. It does not know the quality of
// an individual answer in advance. Its distance from the oracle is therefore the
// value of that knowledge, and the distance of an adaptive policy from equalSlope is
// the cost of estimating the parameters.
type equalSlope struct{}

func (equalSlope) name() string { return "equal slope, tuned in hindsight" }

// slopeBisections is the number of steps of the search for the loss of quality.
const slopeBisections = 24

func (equalSlope) serve(s Setting, requests []request, _ uint64) []outcome {
	means := meanStrongQuality(requests)
	low, high := -1.0, 2.0
	for range slopeBisections {
		middle := (low + high) / 2
		if meanQuality(serveAtSlope(s, requests, means, middle)) >= s.Target {
			low = middle
		} else {
			high = middle
		}
	}
	return serveAtSlope(s, requests, means, low)
}

// meanStrongQuality returns the strong model's mean quality in each class.
func meanStrongQuality(requests []request) map[cascade.Class]float64 {
	sum, n := make(map[cascade.Class]float64), make(map[cascade.Class]float64)
	for _, req := range requests {
		sum[req.class] += req.quality[strong]
		n[req.class]++
	}
	for class := range sum {
		sum[class] /= n[class]
	}
	return sum
}

// serveAtSlope accepts a cheap answer if its rating is below the strong model's mean
// quality in the class by at most maxQualityLoss, scaled by the request's strong cost
// relative to the mean strong cost. It does not try the cheap model in classes where
// that costs more than it saves. A saving counts in full only if the rating is
// at least the mean quality, and less in proportion to the quality lost.
func serveAtSlope(s Setting, requests []request, means map[cascade.Class]float64, maxQualityLoss float64) []outcome {
	meanCost := meanStrongCost(requests)
	savings := make(map[cascade.Class]float64)
	for _, req := range requests {
		allowedLoss := maxQualityLoss * req.cost[strong] / meanCost
		margin := req.gateRating[cheap] - (means[req.class] - allowedLoss)
		savings[req.class] -= req.cost[cheap]
		if req.gateRated[cheap] && margin >= 0 {
			savings[req.class] += req.cost[strong] * min(1, margin/max(allowedLoss, 1e-6))
		}
	}
	outcomes := make([]outcome, len(requests))
	for i, req := range requests {
		threshold := means[req.class] - maxQualityLoss*req.cost[strong]/meanCost
		if savings[req.class] <= 0 {
			outcomes[i] = runModel(req, strong)
			continue
		}
		outcomes[i] = fixedThreshold{threshold: threshold}.serveOne(req)
	}
	return outcomes
}

// meanStrongCost returns the mean cost of a strong answer in micros.
func meanStrongCost(requests []request) float64 {
	sum := 0.0
	for _, req := range requests {
		sum += req.cost[strong]
	}
	return sum / float64(len(requests))
}
