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

// Page is a documentation page with generated sections.
type Page struct {
	Path string // relative to the root of the module
	Text string // with up-to-date generated sections
	old  string // content of the file
}

// Stale reports whether the file differs from Text.
func (p *Page) Stale() bool {
	return p.Text != p.old
}

// Pages returns all pages with generated sections of the module at root.
func Pages(root string) ([]*Page, error) {
	callDiagram, err := StateDiagram(filepath.Join(root, "internal/entry/lifecycle.go"))
	if err != nil {
		return nil, err
	}
	sidecarDiagram, err := StateDiagram(filepath.Join(root, "internal/sidecar/lifecycle.go"))
	if err != nil {
		return nil, err
	}
	operators, err := generatePage(root, "docs/OPERATORS.md", map[string]string{sectionSettings: SettingsTable()})
	if err != nil {
		return nil, err
	}
	architecture, err := generatePage(root, "docs/ARCHITECTURE.md", map[string]string{sectionCall: callDiagram, sectionSidecar: sidecarDiagram})
	if err != nil {
		return nil, err
	}
	return []*Page{operators, architecture}, nil
}

// generatePage reads a page and replaces the content of the given sections.
func generatePage(root, path string, sections map[string]string) (*Page, error) {
	data, err := os.ReadFile(filepath.Join(root, path))
	if err != nil {
		return nil, fmt.Errorf("docsgen: %w", err)
	}
	p := &Page{Path: path, Text: string(data), old: string(data)}
	for name, content := range sections {
		if p.Text, err = ReplaceSection(p.Text, name, content); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	return p, nil
}
