package explain_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/explain"
)

const log = `  2.1 vm-1 {"time":"2026-01-01T10:00:01Z","level":"INFO","msg":"configuration in force","vm":"vm-1","config":7,"revision":3}
line of another program {
{"time":"2026-01-01T10:00:08.5Z","level":"WARN","msg":"store unavailable, keeping the last known rows","vm":"vm-1","table":"op"}
{"time":"2026-01-01T10:00:08.6Z","level":"WARN","msg":"store unavailable, keeping the last known rows","vm":"vm-2","table":"op"}
{"time":"2026-01-01T10:00:09.9Z","level":"INFO","msg":"circuit breaker","vm":"vm-2","upstream":"e-2","state":"open"}
{"time":"2026-01-01T10:00:09.9Z","level":"INFO","msg":"circuit breaker","vm":"vm-2","upstream":"e-9","state":"open"}
{"time":"2026-01-01T10:00:10.5Z","level":"WARN","msg":"request","vm":"vm-1","request":"abc","outcome":"answer_cut","status":0,"route":"r","service":"s","account":"a","config":7,"attempts":[{"upstream":"e-1","version":"v1","model":"small","outcome":"weak","expected":3,"at":0,"first":90,"confidence":12,"ms":90},{"upstream":"e-2","version":"v1","model":"large","outcome":"broken","at":90,"first":200,"ms":410}],"ms":500,"left_ms":7500}
{"time":"2026-01-01T10:00:11Z","level":"INFO","msg":"request","vm":"vm-1","request":"other","outcome":"answered","status":200,"ms":5}
`

func TestTimelineListsEntriesInOrder(t *testing.T) {
	g := NewWithT(t)
	var builder explain.TimelineBuilder
	g.Expect(explain.Read(strings.NewReader(log), builder.Add)).To(Succeed())
	timelines, err := builder.Timelines("abc")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(timelines).To(HaveLen(1))
	g.Expect(timelines[0].Summary).To(Equal("answer_cut, status 0, after 500 ms with 7500 ms left; route r, service s, account a; configuration 7"))
	var texts []string
	for _, e := range timelines[0].Entries {
		texts = append(texts, e.VM+" "+e.Text)
	}
	g.Expect(texts).To(HaveExactElements(
		ContainSubstring("configuration in force"),
		And(HavePrefix("vm-1"), ContainSubstring("store unavailable, keeping the last known rows")),
		And(HavePrefix("vm-2"), ContainSubstring(`"upstream":"e-2"`)),
		ContainSubstring("asks e-1 (version v1, model small), expected to be busy for 3 ms"),
		ContainSubstring("weak by e-1, confidence 12, first event after 90 ms"),
		ContainSubstring("asks e-2"),
		ContainSubstring("broken by e-2, first event after 200 ms"),
	))
}

func TestRequestWithoutLogLineIsUnknown(t *testing.T) {
	g := NewWithT(t)
	var builder explain.TimelineBuilder
	g.Expect(explain.Read(strings.NewReader(log), builder.Add)).To(Succeed())
	_, err := builder.Timelines("none")
	g.Expect(err).To(MatchError(ContainSubstring(`request "none" not found among 2 logged requests`)))
}

// TestTimelineShowsEvacuationsInForce guards against a refusal for an evacuation that began long
// before the request and so is missing in its timeline.
func TestTimelineShowsEvacuationsInForce(t *testing.T) {
	g := NewWithT(t)
	const log = `{"time":"2026-01-01T09:00:00Z","msg":"evacuation of failure domain began","vm":"vm-1","domain":"d1"}
{"time":"2026-01-01T09:00:00Z","msg":"evacuation of failure domain began","vm":"vm-1","domain":"d2"}
{"time":"2026-01-01T09:30:00Z","msg":"evacuation of failure domain ended","vm":"vm-1","domain":"d1"}
{"time":"2026-01-01T10:00:00Z","msg":"request","vm":"vm-1","request":"abc","outcome":"upstreams_evacuated","status":503,"config":7,"detail":"Of 2 upstreams 2 are evacuated.","ms":1}
`
	var builder explain.TimelineBuilder
	g.Expect(explain.Read(strings.NewReader(log), builder.Add)).To(Succeed())
	timelines, err := builder.Timelines("abc")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(timelines[0].Summary).To(And(HavePrefix("upstreams_evacuated, status 503"), HaveSuffix("; Of 2 upstreams 2 are evacuated.")))
	g.Expect(timelines[0].Entries).To(HaveLen(1))
	g.Expect(timelines[0].Entries[0].Text).To(ContainSubstring(`"domain":"d2"`))
}

// TestSummaryTellsWhatCallerGotWhenStopEndedItsRequest guards against a status in a timeline that
// the caller never received.
func TestSummaryTellsWhatCallerGotWhenStopEndedItsRequest(t *testing.T) {
	g := NewWithT(t)
	const log = `{"time":"2026-01-01T10:00:00Z","msg":"request","vm":"vm-1","request":"abc","outcome":"draining","status":502,"config":7,"aborted":"unsent","ms":1}
`
	var builder explain.TimelineBuilder
	g.Expect(explain.Read(strings.NewReader(log), builder.Add)).To(Succeed())
	timelines, err := builder.Timelines("abc")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(timelines[0].Summary).To(ContainSubstring("ended by a planned stop, caller's answer: unsent"))
}
