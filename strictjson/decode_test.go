package strictjson_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/strictjson"
)

func TestStrictJSON(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "strictjson")
}

type itemFixture struct {
	Name string `json:"name"`
	Size int    `json:"size"`
}

type documentFixture struct {
	Items  []itemFixture     `json:"items"`
	Labels map[string]string `json:"labels"`
	Ratio  float64           `json:"ratio"`
}

var _ = Describe("Decode", func() {
	It("reports all faults of a text with their positions", func() {
		src := "{\n  // comment\n  \"items\": [{\"name\": 1, \"size\": 1.5}],\n  \"ratio\": \"x\",\n  \"ratio\": 2,\n  \"other\": null,\n}"
		var dst documentFixture
		faults := strictjson.Decode([]byte(src), &dst).Faults()
		var got []string
		for _, f := range faults {
			got = append(got, f.String())
		}
		Expect(got).To(Equal([]string{
			"3:22: items[0].name: must be a string, not 1",
			"3:33: items[0].size: must be a whole number within range, not 1.5",
			"4:12: ratio: must be a number, not \"x\"",
			"5:3: ratio: field stands twice; keep one",
			"6:3: other: unknown field; known are items, labels, ratio",
		}))
	})

	It("reports the position of a syntax error", func() {
		var dst documentFixture
		faults := strictjson.Decode([]byte("{\n \"ratio\": }"), &dst).Faults()
		Expect(faults).To(HaveLen(1))
		Expect(faults[0].Line).To(Equal(2))
	})

	// Guards against a text of 1 MB that takes minutes to check: the position of each fault
	// is found by reading the text from its beginning.
	It("lists a bounded number of faults, and says that there are more", func() {
		src := `{"items": [` + strings.Repeat("0,\n", 350_000) + `{}]}`
		var dst documentFixture
		faults := strictjson.Decode([]byte(src), &dst).Faults()
		Expect(faults).To(HaveLen(1001))
		Expect(faults[999].Line).To(Equal(1000))
		Expect(faults[1000].Message).To(ContainSubstring("more than 1000 faults"))
	})

	It("doesn't say that there are more faults than it lists if there are none", func() {
		var dst documentFixture
		faults := strictjson.Decode([]byte(`{"items": [`+strings.Repeat("0,", 1000)+`]}`), &dst).Faults()
		Expect(faults).To(HaveLen(1000))
	})

	It("leaves absent values unchanged and rejects text that is not valid UTF-8", func() {
		dst := documentFixture{Ratio: 3}
		Expect(strictjson.Decode([]byte(`{"labels":{"a":"b"}}`), &dst).Faults().Err()).To(Succeed())
		Expect(dst.Ratio).To(Equal(3.0))
		Expect(dst.Labels).To(HaveKeyWithValue("a", "b"))
		Expect(strictjson.Decode([]byte{0xff}, &dst).Faults().Err()).To(HaveOccurred())
	})
})

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"items":[{"name":"a","size":1}],"labels":{"x":"y"},"ratio":0.5}`))
	f.Add([]byte(`{"items":[{}],/* c */"ratio":1e400,}`))
	f.Fuzz(func(t *testing.T, src []byte) {
		var dst documentFixture
		for _, fault := range strictjson.Decode(src, &dst).Faults() {
			if fault.Message == "" {
				t.Fatal("fault has no message")
			}
		}
	})
}
