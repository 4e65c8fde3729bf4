package docsgen

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/settings"
)

// SettingsTable returns a Markdown table of the settings of the daemon.
func SettingsTable() string {
	var b strings.Builder
	b.WriteString("| flag | environment variable | default | meaning |\n|---|---|---|---|\n")
	for _, f := range settings.Flags() {
		name := f.Names()[0]
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", name, settings.EnvName(name), defaultValue(f), usageText(f))
	}
	return b.String()
}

// usageText returns the help text of a flag with the column separator escaped.
func usageText(f cli.Flag) string {
	if documented, ok := f.(cli.DocGenerationFlag); ok {
		return strings.ReplaceAll(documented.GetUsage(), "|", "\\|")
	}
	return ""
}

// defaultValue returns the default value of a flag in backquotes, or "" if it is empty.
func defaultValue(f cli.Flag) string {
	value := f.Get()
	if value == "" {
		return ""
	}
	return fmt.Sprintf("`%v`", value)
}
