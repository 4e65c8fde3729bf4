package docsgen

import (
	"fmt"
	"strings"
)

// ReplaceSection returns the page with new content in the named section, which is between
// the lines "<!-- begin NAME -->" and "<!-- end NAME -->".
func ReplaceSection(page, name, content string) (string, error) {
	beginLine := "<!-- begin " + name + " -->\n"
	endLine := "<!-- end " + name + " -->"
	head, rest, ok := strings.Cut(page, beginLine)
	if !ok {
		return "", fmt.Errorf("docsgen: the page has no line %q", strings.TrimSpace(beginLine))
	}
	_, tail, ok := strings.Cut(rest, endLine)
	if !ok {
		return "", fmt.Errorf("docsgen: the page has no line %q", endLine)
	}
	return head + beginLine + "\n" + strings.TrimSpace(content) + "\n\n" + endLine + tail, nil
}

// Section returns the content of the named section without surrounding space.
func Section(page, name string) (string, error) {
	_, rest, ok := strings.Cut(page, "<!-- begin "+name+" -->\n")
	if !ok {
		return "", fmt.Errorf("docsgen: the page has no section %q", name)
	}
	content, _, ok := strings.Cut(rest, "<!-- end "+name+" -->")
	if !ok {
		return "", fmt.Errorf("docsgen: the page has no end of section %q", name)
	}
	return strings.TrimSpace(content), nil
}

// TableRows returns the cells of the body rows of all Markdown tables in a text. Backquotes
// around the first cell of a row are removed.
func TableRows(text string) [][]string {
	var rows [][]string
	inBody := false
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			inBody = false
			continue
		}
		if strings.HasPrefix(line, "|---") {
			inBody = true
			continue
		}
		if inBody {
			rows = append(rows, rowCells(line))
		}
	}
	return rows
}

// rowCells returns the cells of a table row.
func rowCells(line string) []string {
	row := strings.Split(strings.Trim(line, "|"), "|")
	for i := range row {
		row[i] = strings.TrimSpace(row[i])
	}
	row[0] = strings.Trim(row[0], "`")
	return row
}
