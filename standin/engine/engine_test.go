package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/fault"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine stand-in")
}

var v1 = engine.VersionRef{Model: "cheap", Version: "v1"}

const prompt = "plan the detour"

// send sends a request. header lists names and values in turn. The response body is closed
// after the test.
func send(method, url, body string, header ...string) (*http.Response, error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		DeferCleanup(response.Body.Close)
	}
	return response, err
}

// postChat sends a chat completion request with the prompt to version v1 of model cheap.
func postChat(server *engine.Server, stream bool, header ...string) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{
		"model": "cheap@v1", "stream": stream, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	Expect(err).NotTo(HaveOccurred())
	return send(http.MethodPost, server.URL()+"/v1/chat/completions", string(body), header...)
}

type event struct{ id, text string }

// readEvents reads a stream to its end and reports whether it ended with [DONE].
func readEvents(response *http.Response) (list []event, done bool) {
	scanner := bufio.NewScanner(response.Body)
	var id string
	for scanner.Scan() {
		line := scanner.Text()
		if after, ok := strings.CutPrefix(line, "id: "); ok {
			id = after
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return list, true
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		Expect(json.Unmarshal([]byte(data), &chunk)).To(Succeed())
		list = append(list, event{id: id, text: chunk.Choices[0].Delta.Content})
	}
	return list, false
}

// joinText returns the text of the events, concatenated.
func joinText(list []event) string {
	var text strings.Builder
	for _, e := range list {
		text.WriteString(e.text)
	}
	return text.String()
}

// isExpectedAnswer reports whether text is a complete answer to the prompt by an engine with
// default bounds of the answer's length.
func isExpectedAnswer(text string) bool {
	return engine.IsAnswer(text, "cheap", "v1", prompt, 8, 64, 0)
}

var _ = Describe("Engine", func() {
	var clock *clockwork.FakeClock
	start := func(o engine.Options) *engine.Server {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		o.Versions = []engine.VersionRef{v1}
		o.Clock = clock
		server := engine.Start(l, o)
		DeferCleanup(server.Close)
		return server
	}
	BeforeEach(func() { clock = clockwork.NewFakeClock() })

	It("returns the same answer as JSON and as a stream, and refuses a repeated attempt ID", func() {
		server := start(engine.Options{})
		response, err := postChat(server, false, "X-Attempt-Id", "a1")
		Expect(err).NotTo(HaveOccurred())
		var completion struct {
			Choices []struct{ Message struct{ Content string } }
			Usage   engine.Usage
		}
		Expect(json.NewDecoder(response.Body).Decode(&completion)).To(Succeed())
		Expect(isExpectedAnswer(completion.Choices[0].Message.Content)).To(BeTrue())
		response, err = postChat(server, true, "X-Attempt-Id", "a2")
		Expect(err).NotTo(HaveOccurred())
		list, done := readEvents(response)
		Expect(done).To(BeTrue())
		Expect(joinText(list)).To(Equal(completion.Choices[0].Message.Content))
		Expect(list).To(HaveLen(completion.Usage.CompletionTokens + 1))
		response, err = postChat(server, false, "X-Attempt-Id", "a1")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusConflict))
		Expect(server.Counts().Attempts["a1"].Duplicates).To(Equal(1))
		Expect(server.Counts().Runs).To(BeEquivalentTo(2))
	})

	It("resumes a truncated stream after the last event received, without a second run", func() {
		server := start(engine.Options{})
		Expect(server.Faults.Add(fault.Rule{Kind: engine.TruncatedResponse, Count: 1})).To(Succeed())
		response, err := postChat(server, true, "X-Attempt-Id", "a1")
		Expect(err).NotTo(HaveOccurred())
		first, done := readEvents(response)
		Expect(done).To(BeFalse())
		Expect(first).NotTo(BeEmpty())
		response, err = send(http.MethodGet, server.URL()+"/v1/streams/a1", "", "Last-Event-ID", first[len(first)-1].id)
		Expect(err).NotTo(HaveOccurred())
		rest, done := readEvents(response)
		Expect(done).To(BeTrue())
		Expect(isExpectedAnswer(joinText(append(first, rest...)))).To(BeTrue())
		Expect(server.Counts().Runs).To(BeEquivalentTo(1))
	})

	DescribeTable("injects a duplicate, reordered or wrong piece after the given number of pieces",
		func(kind fault.Kind, wantIDs ...string) {
			server := start(engine.Options{})
			Expect(server.Faults.Add(fault.Rule{Kind: kind, Count: 1, AfterPieces: 2})).To(Succeed())
			response, err := postChat(server, true, "X-Attempt-Id", "a1")
			Expect(err).NotTo(HaveOccurred())
			list, done := readEvents(response)
			Expect(done).To(BeTrue())
			for i, want := range wantIDs {
				Expect(list[i].id).To(Equal(want))
			}
		},
		Entry("duplicate piece", engine.DuplicatePiece, "a1/0", "a1/1", "a1/2", "a1/2", "a1/3"),
		Entry("reordered pieces", engine.ReorderPieces, "a1/0", "a1/1", "a1/3", "a1/2", "a1/4"),
		Entry("piece of another attempt", engine.WrongAttemptPiece, "a1/0", "a1/1", "another-attempt/3", "a1/2"),
	)

	DescribeTable("runs the request only if the fault is injected after the start of the run",
		func(kind fault.Kind, status int, notStarted string, runs int) {
			server := start(engine.Options{})
			Expect(server.Faults.Add(fault.Rule{Kind: kind, Count: 1})).To(Succeed())
			response, err := postChat(server, false)
			if status == 0 {
				Expect(err).To(HaveOccurred())
			} else {
				Expect(err).NotTo(HaveOccurred())
				Expect(response.StatusCode).To(Equal(status))
				Expect(response.Header.Get("X-Not-Started")).To(Equal(notStarted))
			}
			Expect(server.Counts().Runs).To(BeEquivalentTo(runs))
		},
		Entry("refused", engine.Refuse, http.StatusServiceUnavailable, "true", 0),
		Entry("reset before the body is read", engine.ResetBeforeRead, 0, "", 0),
		Entry("reset after the start of the run", engine.ResetAfterRead, 0, "", 1),
		Entry("error status", engine.ErrorStatus, http.StatusInternalServerError, "", 0),
		Entry("crash", engine.Crash, 0, "", 1),
	)

	It("refuses requests without running them when full, past the deadline or draining, and cancels streams on request", func() {
		server := start(engine.Options{Capacity: 1, MaxWaiting: 1, TokenTime: time.Hour})
		response, err := postChat(server, true, "X-Attempt-Id", "a1")
		Expect(err).NotTo(HaveOccurred())
		notStarted := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			expired, err := postChat(server, false, "X-Deadline-Ms", "1000")
			Expect(err).NotTo(HaveOccurred())
			notStarted <- expired.Header.Get("X-Not-Started")
		}()
		Expect(clock.BlockUntilContext(context.Background(), 2)).To(Succeed())
		Eventually(func() int { return server.Load().Waiting }).Should(Equal(1))
		full, err := postChat(server, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(full.Header.Get("X-Not-Started")).To(Equal("true"))
		clock.Advance(time.Second)
		Expect(<-notStarted).To(Equal("true"))
		server.Drain()
		refused, err := postChat(server, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(refused.Header.Get("X-Not-Started")).To(Equal("true"))
		Expect(refused.Header.Get("X-Draining")).To(Equal("true"))
		_, err = send(http.MethodDelete, server.URL()+"/v1/streams/a1", "")
		Expect(err).NotTo(HaveOccurred())
		_, done := readEvents(response)
		Expect(done).To(BeFalse())
		Eventually(func() uint64 { return server.Counts().Cancels }).Should(BeEquivalentTo(1))
	})

	It("adds the time per running request to the time per token", func() {
		server := start(engine.Options{TokenTime: time.Second, TokenTimePerRunning: time.Second, MinTokens: 1, MaxTokens: 1})
		_, err := postChat(server, true, "X-Attempt-Id", "a1")
		Expect(err).NotTo(HaveOccurred())
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		clock.Advance(time.Second)
		Expect(server.Counts().Attempts["a1"].Tokens).To(Equal(0))
		clock.Advance(time.Second)
		Eventually(func() int { return server.Counts().Attempts["a1"].Tokens }).Should(Equal(1))
	})

	DescribeTable("loads ordered versions after LoadTime and checks the fencing token only with Fencing", func(fencing bool, wantStatus int) {
		server := start(engine.Options{Fencing: fencing, LoadTime: time.Minute, ReportLag: time.Second})
		putOrder := func(o engine.Order) int {
			body, err := json.Marshal(o)
			Expect(err).NotTo(HaveOccurred())
			response, err := send(http.MethodPut, server.URL()+"/state", string(body))
			Expect(err).NotTo(HaveOccurred())
			return response.StatusCode
		}
		getLoad := func() (report engine.LoadReport) {
			response, err := send(http.MethodGet, server.URL()+"/load", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(json.NewDecoder(response.Body).Decode(&report)).To(Succeed())
			return report
		}
		v2 := engine.VersionRef{Model: "cheap", Version: "v2"}
		Expect(getLoad().Versions).To(HaveLen(1))
		Expect(putOrder(engine.Order{Fence: 5, Versions: []engine.VersionRef{v1, v2}})).To(Equal(http.StatusOK))
		Expect(getLoad().Versions).To(HaveLen(1), "the load report is served until it is ReportLag old")
		clock.Advance(time.Second)
		Expect(getLoad().Versions).To(Equal([]engine.VersionState{{VersionRef: v1, Loaded: true}, {VersionRef: v2}}))
		clock.Advance(time.Minute)
		Expect(getLoad().Versions[1].Loaded).To(BeTrue())
		Expect(putOrder(engine.Order{Fence: 4})).To(Equal(wantStatus))
	},
		Entry("with fencing", true, http.StatusConflict),
		Entry("without fencing", false, http.StatusOK),
	)

	It("caches prompt prefixes and publishes cache events with lag and gaps", func() {
		server := start(engine.Options{EventLag: time.Second, EventGap: 2, PrefixBlocks: 2})
		text := strings.Repeat("street ", 40)
		cachedTokens := func() int {
			response, err := send(http.MethodPost, server.URL()+"/v1/completions", `{"model":"cheap@v1","prompt":"`+text+`"}`)
			Expect(err).NotTo(HaveOccurred())
			var answer struct{ Usage engine.Usage }
			Expect(json.NewDecoder(response.Body).Decode(&answer)).To(Succeed())
			return answer.Usage.Details.CachedTokens
		}
		cacheEvents := func() (list engine.CacheEvents) {
			response, err := send(http.MethodGet, server.URL()+"/cache-events?after=0", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(json.NewDecoder(response.Body).Decode(&list)).To(Succeed())
			return list
		}
		Expect(cachedTokens()).To(Equal(0))
		Expect(cachedTokens()).To(Equal(32))
		Expect(cacheEvents().Events).To(BeEmpty())
		clock.Advance(time.Second)
		Expect(cacheEvents().Events).To(HaveLen(1))
	})
})
