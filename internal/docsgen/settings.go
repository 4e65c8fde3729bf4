package docsgen

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/settings"
)

// SettingsTable returns the table of the daemon's settings.
func SettingsTable() string {
	var b strings.Builder
	b.WriteString("| flag | environment variable | default | meaning |\n|---|---|---|---|\n")
	for _, f := range settings.Flags() {
		name := f.Names()[0]
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", name, settings.EnvName(name), defaultOf(f), usageOf(f))
	}
	return b.String()
}

func usageOf(f cli.Flag) string {
	if documented, ok := f.(cli.DocGenerationFlag); ok {
		return strings.ReplaceAll(documented.GetUsage(), "|", "\\|")
	}
	return ""
}

func defaultOf(f cli.Flag) string {
	value := f.Get()
	if value == "" {
		return ""
	}
	return fmt.Sprintf("`%v`", value)
}
