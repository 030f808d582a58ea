// Package cascadecost measures the cost of a cascade of a cheap and a strong model
// at a quality target.
//
// A seeded workload of four request classes draws in advance, for each request and
// model, the quality, cost and latency of the answer. Every policy serves the same
// requests. Ratings are the quality plus noise. The oracle knows the quality of all
// answers in advance. For the least cost it replaces strong answers by cheap ones, in
// the order of the quality lost per unit of cost saved, as long as the mean quality
// meets the target. It pays for one answer per request and for no ratings.
package cascadecost
