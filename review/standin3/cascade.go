package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

const (
	host       = "permisos.example"
	key        = "key-of-hule930"
	tenant     = "hule930"
	llmService = "poplar-llm"
	appService = "permisos-app"
)

// playCascade sends requests on routes with sizes whose requests may run once: streams that can't be resumed, and
// non-idempotent calls. With trouble, the smallest model has a low opinion of its answers.
func playCascade(b *bed, binary string, trouble bool) (bool, error) {
	sizes := []string{"m0", "m1", "m2"}
	b.configure([]standin.Route{
		{Name: "draft", Host: host, Prefix: "/draft/", Kind: standin.KindStreaming, Service: llmService, TimeoutMS: 20000,
			TargetLatencyMS: 2000, Sizes: sizes, MaxAttempts: 3},
		{Name: "issue", Host: host, Prefix: "/issue/", Kind: standin.KindNonIdempotent, Service: llmService, TimeoutMS: 6000,
			TargetLatencyMS: 2000, Sizes: sizes, MaxAttempts: 2},
	}, map[string][]string{tenant: {key}})
	behave := func(r *http.Request) standin.Behaviour {
		answer := standin.Behaviour{Confidence: 95}
		if trouble && r.Header.Get("X-Model") == sizes[0] {
			answer.Confidence = 10
		}
		if r.URL.Path[1] == 'd' {
			answer.Events, answer.Gap = 5, 10*time.Millisecond
		}
		return answer
	}
	for i, zone := range []string{"pampeana-a", "cuyo-a", "noa-a"} {
		b.addEngine(&standin.Engine{ID: fmt.Sprintf("i-%d", i+1), Service: llmService, Zone: zone, Version: "v1", Behave: behave})
	}
	if err := b.startGateways(binary, "pampeana-a", "cuyo-a"); err != nil {
		return false, err
	}
	client := standin.NewClient(host, false)
	var ids []string
	for i := range 40 {
		kind := []string{"draft", "issue"}[i%2]
		id := fmt.Sprintf("%s-%d", kind, i)
		resp := client.Do(context.Background(), standin.Request{
			ID: id, Method: http.MethodPost, Path: "/" + kind + "/2f", Address: b.gateways[i/2%2].callers, Key: key,
			Body: "street dossier", Deadline: 6 * time.Second, HasPrompt: true,
		})
		ids = append(ids, id)
		b.note("sent %s to %s: status %d, whole %t", id, b.gateways[i/2%2].name, resp.Status, !resp.Incomplete)
	}
	runs, twice := b.runsByID(), 0
	for _, id := range ids {
		b.note("%s ran %d times: %v", id, len(runs[id]), runs[id])
		if len(runs[id]) > 1 {
			twice++
		}
	}
	b.note("%d of %d requests ran more than once", twice, len(ids))
	return twice > 0, nil
}
