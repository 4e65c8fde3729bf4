package docsgen

import (
	"fmt"
	"strings"
)

// Replace returns the page with the content of the named section exchanged. The
// section stands between two marker lines, "<!-- begin NAME -->" and
// "<!-- end NAME -->".
func Replace(page, name, content string) (string, error) {
	begin := "<!-- begin " + name + " -->\n"
	end := "<!-- end " + name + " -->"
	head, rest, ok := strings.Cut(page, begin)
	if !ok {
		return "", fmt.Errorf("docsgen: the page has no line %q", strings.TrimSpace(begin))
	}
	_, tail, ok := strings.Cut(rest, end)
	if !ok {
		return "", fmt.Errorf("docsgen: the page has no line %q", end)
	}
	return head + begin + "\n" + strings.TrimSpace(content) + "\n\n" + end + tail, nil
}

// Section returns the content of the named section.
func Section(page, name string) (string, error) {
	_, rest, ok := strings.Cut(page, "<!-- begin "+name+" -->\n")
	if !ok {
		return "", fmt.Errorf("docsgen: the page has no section %q", name)
	}
	content, _, ok := strings.Cut(rest, "<!-- end "+name+" -->")
	if !ok {
		return "", fmt.Errorf("docsgen: the section %q has no end", name)
	}
	return strings.TrimSpace(content), nil
}

// Rows returns the cells of the tables in a text, without heads and rules. The
// first cell of each row has no back quotes.
func Rows(text string) [][]string {
	var rows [][]string
	afterRule := false
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			afterRule = false
			continue
		}
		if strings.HasPrefix(line, "|---") {
			afterRule = true
			continue
		}
		if afterRule {
			rows = append(rows, cells(line))
		}
	}
	return rows
}

func cells(line string) []string {
	row := strings.Split(strings.Trim(line, "|"), "|")
	for i := range row {
		row[i] = strings.TrimSpace(row[i])
	}
	row[0] = strings.Trim(row[0], "`")
	return row
}
