// Command docsgen updates the generated sections of the documentation pages. "make docs"
// runs it in the root of the module.
package main

import (
	"fmt"
	"os"

	"ibistray.example/ibistray/internal/docsgen"
)

const pageMode = 0o644 // permissions of a page

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "docsgen:", err)
		os.Exit(1)
	}
}

func run() error {
	pages, err := docsgen.Pages(".")
	if err != nil {
		return err
	}
	for _, page := range pages {
		if !page.Stale() {
			continue
		}
		if err := os.WriteFile(page.Path, []byte(page.Text), pageMode); err != nil {
			return err
		}
		fmt.Println("wrote", page.Path)
	}
	return nil
}
