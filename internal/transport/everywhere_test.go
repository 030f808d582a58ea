package transport_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// developmentFolders hold programs for development and tests only.
var developmentFolders = map[string]bool{
	".git": true, "experiment": true, "journal": true, "measure": true, "review": true, "scenarios": true, "soak": true, "standin": true,
}

// TestEachTransportIsChecked guards against clients that take any head for that of a response.
func TestEachTransportIsChecked(t *testing.T) {
	g := NewWithT(t)
	found := 0
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && developmentFolders[entry.Name()]:
			return filepath.SkipDir
		case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, unchecked := range []string{"http.DefaultClient", "http.DefaultTransport", "http.Get(", "http.Post("} {
			g.Expect(string(source)).NotTo(ContainSubstring(unchecked), path)
		}
		if strings.Contains(string(source), "&http.Transport{") {
			found++
			g.Expect(string(source)).To(ContainSubstring("Checked("), path)
		}
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeNumerically(">", 0))
}
