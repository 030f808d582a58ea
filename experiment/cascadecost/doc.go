// Package cascadecost measures what a cascade costs at a quality target.
//
// A workload of four request classes gives each request a quality under the
// cheap and under the strong model, costs and latencies, all drawn beforehand
// from a seed. Every policy answers the same requests. The rating service sees
// the quality with noise. The oracle knows both qualities of all requests
// beforehand and picks the set of cheap answers of least cost whose mean
// quality meets the target; it pays for one answer a request and never for a
// rating.
package cascadecost
