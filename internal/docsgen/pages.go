package docsgen

import (
	"fmt"
	"os"
	"path/filepath"
)

// Names of the generated sections.
const (
	sectionSettings = "settings"
	sectionCall     = "call states"
	sectionSidecar  = "sidecar states"
)

// Page is a page with generated sections.
type Page struct {
	Path string // from the root of the module
	Text string // as it has to be
	old  string
}

// Stale reports whether the file differs from what the code gives.
func (p *Page) Stale() bool {
	return p.Text != p.old
}

// Pages returns the pages with generated sections of the module at root.
func Pages(root string) ([]*Page, error) {
	call, err := Diagram(filepath.Join(root, "internal/entry/lifecycle.go"))
	if err != nil {
		return nil, err
	}
	sidecar, err := Diagram(filepath.Join(root, "internal/sidecar/lifecycle.go"))
	if err != nil {
		return nil, err
	}
	operators, err := page(root, "docs/OPERATORS.md", map[string]string{sectionSettings: SettingsTable()})
	if err != nil {
		return nil, err
	}
	architecture, err := page(root, "docs/ARCHITECTURE.md", map[string]string{sectionCall: call, sectionSidecar: sidecar})
	if err != nil {
		return nil, err
	}
	return []*Page{operators, architecture}, nil
}

func page(root, path string, sections map[string]string) (*Page, error) {
	data, err := os.ReadFile(filepath.Join(root, path))
	if err != nil {
		return nil, fmt.Errorf("docsgen: %w", err)
	}
	p := &Page{Path: path, Text: string(data), old: string(data)}
	for name, content := range sections {
		if p.Text, err = Replace(p.Text, name, content); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	return p, nil
}
