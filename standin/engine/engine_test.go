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

// ask sends one request with header pairs and returns the open response.
func ask(method, url, body string, header ...string) (*http.Response, error) {
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

func chat(server *engine.Server, stream bool, header ...string) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{
		"model": "cheap@v1", "stream": stream, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	Expect(err).NotTo(HaveOccurred())
	return ask(http.MethodPost, server.URL()+"/v1/chat/completions", string(body), header...)
}

type event struct{ id, text string }

// events reads a stream to its end and reports whether it ended with [DONE].
func events(response *http.Response) (list []event, done bool) {
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

func join(list []event) string {
	var text strings.Builder
	for _, e := range list {
		text.WriteString(e.text)
	}
	return text.String()
}

func isOwn(text string) bool {
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

	It("gives the same whole answer at once and streamed, and runs an attempt once", func() {
		server := start(engine.Options{})
		response, err := chat(server, false, "X-Attempt-Id", "a1")
		Expect(err).NotTo(HaveOccurred())
		var whole struct {
			Choices []struct{ Message struct{ Content string } }
			Usage   engine.Usage
		}
		Expect(json.NewDecoder(response.Body).Decode(&whole)).To(Succeed())
		Expect(isOwn(whole.Choices[0].Message.Content)).To(BeTrue())
		response, err = chat(server, true, "X-Attempt-Id", "a2")
		Expect(err).NotTo(HaveOccurred())
		list, done := events(response)
		Expect(done).To(BeTrue())
		Expect(join(list)).To(Equal(whole.Choices[0].Message.Content))
		Expect(list).To(HaveLen(whole.Usage.CompletionTokens + 1))
		response, err = chat(server, false, "X-Attempt-Id", "a1")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusConflict))
		Expect(server.Counts().Attempts["a1"].Duplicates).To(Equal(1))
		Expect(server.Counts().Runs).To(BeEquivalentTo(2))
	})

	It("resumes a cut stream after the last piece received", func() {
		server := start(engine.Options{})
		Expect(server.Faults.Add(fault.Rule{Kind: engine.HalfAnswer, Count: 1})).To(Succeed())
		response, err := chat(server, true, "X-Attempt-Id", "a1")
		Expect(err).NotTo(HaveOccurred())
		first, done := events(response)
		Expect(done).To(BeFalse())
		Expect(first).NotTo(BeEmpty())
		response, err = ask(http.MethodGet, server.URL()+"/v1/streams/a1", "", "Last-Event-ID", first[len(first)-1].id)
		Expect(err).NotTo(HaveOccurred())
		rest, done := events(response)
		Expect(done).To(BeTrue())
		Expect(isOwn(join(append(first, rest...)))).To(BeTrue())
		Expect(server.Counts().Runs).To(BeEquivalentTo(1))
	})

	DescribeTable("damages the order or the origin of pieces",
		func(kind fault.Kind, wantIDs ...string) {
			server := start(engine.Options{})
			Expect(server.Faults.Add(fault.Rule{Kind: kind, Count: 1, AfterPieces: 2})).To(Succeed())
			response, err := chat(server, true, "X-Attempt-Id", "a1")
			Expect(err).NotTo(HaveOccurred())
			list, done := events(response)
			Expect(done).To(BeTrue())
			for i, want := range wantIDs {
				Expect(list[i].id).To(Equal(want))
			}
		},
		Entry("duplicate", engine.DuplicatePiece, "a1/0", "a1/1", "a1/2", "a1/2", "a1/3"),
		Entry("reordered", engine.ReorderPieces, "a1/0", "a1/1", "a1/3", "a1/2", "a1/4"),
		Entry("foreign", engine.ForeignPiece, "a1/0", "a1/1", "another-attempt/3", "a1/2"),
	)

	DescribeTable("fails a request before or after it runs",
		func(kind fault.Kind, status int, notStarted string, runs int) {
			server := start(engine.Options{})
			Expect(server.Faults.Add(fault.Rule{Kind: kind, Count: 1})).To(Succeed())
			response, err := chat(server, false)
			if status == 0 {
				Expect(err).To(HaveOccurred())
			} else {
				Expect(err).NotTo(HaveOccurred())
				Expect(response.StatusCode).To(Equal(status))
				Expect(response.Header.Get("X-Not-Started")).To(Equal(notStarted))
			}
			Expect(server.Counts().Runs).To(BeEquivalentTo(runs))
		},
		Entry("refuse", engine.Refuse, http.StatusServiceUnavailable, "true", 0),
		Entry("reset before", engine.ResetBefore, 0, "", 0),
		Entry("reset after read", engine.ResetAfterRead, 0, "", 1),
		Entry("error", engine.ErrorStatus, http.StatusInternalServerError, "", 0),
		Entry("crash", engine.Crash, 0, "", 1),
	)

	It("refuses truly when it is full, late or draining, and cancels streams", func() {
		server := start(engine.Options{Capacity: 1, Waiting: 1, TokenTime: time.Hour})
		response, err := chat(server, true, "X-Attempt-Id", "a1")
		Expect(err).NotTo(HaveOccurred())
		late := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			expired, err := chat(server, false, "X-Deadline-Ms", "1000")
			Expect(err).NotTo(HaveOccurred())
			late <- expired.Header.Get("X-Not-Started")
		}()
		Expect(clock.BlockUntilContext(context.Background(), 2)).To(Succeed())
		Eventually(func() int { return server.Load().Waiting }).Should(Equal(1))
		full, err := chat(server, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(full.Header.Get("X-Not-Started")).To(Equal("true"))
		clock.Advance(time.Second)
		Expect(<-late).To(Equal("true"))
		server.Drain()
		refused, err := chat(server, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(refused.Header.Get("X-Not-Started")).To(Equal("true"))
		Expect(refused.Header.Get("X-Draining")).To(Equal("true"))
		_, err = ask(http.MethodDelete, server.URL()+"/v1/streams/a1", "")
		Expect(err).NotTo(HaveOccurred())
		_, done := events(response)
		Expect(done).To(BeFalse())
		Eventually(func() uint64 { return server.Counts().Cancels }).Should(BeEquivalentTo(1))
	})

	It("takes longer per token the more requests run", func() {
		server := start(engine.Options{TokenTime: time.Second, TokenTimePerRunning: time.Second, MinTokens: 1, MaxTokens: 1})
		_, err := chat(server, true, "X-Attempt-Id", "a1")
		Expect(err).NotTo(HaveOccurred())
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		clock.Advance(time.Second)
		Expect(server.Counts().Attempts["a1"].Tokens).To(Equal(0))
		clock.Advance(time.Second)
		Eventually(func() int { return server.Counts().Attempts["a1"].Tokens }).Should(Equal(1))
	})

	DescribeTable("takes orders and loads versions in time", func(fencing bool, wantStatus int) {
		server := start(engine.Options{Fencing: fencing, LoadTime: time.Minute, ReportLag: time.Second})
		order := func(o engine.Order) int {
			body, err := json.Marshal(o)
			Expect(err).NotTo(HaveOccurred())
			response, err := ask(http.MethodPut, server.URL()+"/state", string(body))
			Expect(err).NotTo(HaveOccurred())
			return response.StatusCode
		}
		load := func() (report engine.LoadReport) {
			response, err := ask(http.MethodGet, server.URL()+"/load", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(json.NewDecoder(response.Body).Decode(&report)).To(Succeed())
			return report
		}
		v2 := engine.VersionRef{Model: "cheap", Version: "v2"}
		Expect(load().Versions).To(HaveLen(1))
		Expect(order(engine.Order{Fence: 5, Versions: []engine.VersionRef{v1, v2}})).To(Equal(http.StatusOK))
		Expect(load().Versions).To(HaveLen(1), "the report lags")
		clock.Advance(time.Second)
		Expect(load().Versions).To(Equal([]engine.VersionState{{VersionRef: v1, Loaded: true}, {VersionRef: v2}}))
		clock.Advance(time.Minute)
		Expect(load().Versions[1].Loaded).To(BeTrue())
		Expect(order(engine.Order{Fence: 4})).To(Equal(wantStatus))
	},
		Entry("with fencing", true, http.StatusConflict),
		Entry("without", false, http.StatusOK),
	)

	It("caches prefixes and publishes cache events late and with gaps", func() {
		server := start(engine.Options{EventLag: time.Second, EventGap: 2, PrefixBlocks: 2})
		text := strings.Repeat("street ", 40)
		cached := func() int {
			response, err := ask(http.MethodPost, server.URL()+"/v1/completions", `{"model":"cheap@v1","prompt":"`+text+`"}`)
			Expect(err).NotTo(HaveOccurred())
			var answer struct{ Usage engine.Usage }
			Expect(json.NewDecoder(response.Body).Decode(&answer)).To(Succeed())
			return answer.Usage.Details.CachedTokens
		}
		published := func() (list engine.CacheEvents) {
			response, err := ask(http.MethodGet, server.URL()+"/cache-events?after=0", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(json.NewDecoder(response.Body).Decode(&list)).To(Succeed())
			return list
		}
		Expect(cached()).To(Equal(0))
		Expect(cached()).To(Equal(32))
		Expect(published().Events).To(BeEmpty())
		clock.Advance(time.Second)
		Expect(published().Events).To(HaveLen(1))
	})
})
