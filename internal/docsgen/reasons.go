package docsgen

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"ibistray.example/ibistray/proto/configpb"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

// Reasons are the names that the code gives as reasons, without duplicates.
type Reasons struct {
	Refusals map[string]bool // of error answers and ibistray_refusals_total
	Retries  map[string]bool // of ibistray_retries_total
	Releases map[string]bool // of ibistray_released_holds_total
}

// Where the code defines reasons: constants with a prefix in a file or folder.
var constantSources = []struct {
	path, prefix string
	set          func(*Reasons) map[string]bool
}{
	{"internal/entry/failure.go", "reason", refusalSet},
	{"internal/gateway/refusal.go", "reason", refusalSet},
	{"internal/policy/retry/failure.go", "Reason", retrySet},
	{"internal/gateway/turns.go", "retry", retrySet},
	{"internal/policy/retain/plan.go", "Reason", releaseSet},
	{"internal/sidecar/holds.go", "release", releaseSet},
}

func refusalSet(r *Reasons) map[string]bool { return r.Refusals }
func retrySet(r *Reasons) map[string]bool   { return r.Retries }
func releaseSet(r *Reasons) map[string]bool { return r.Releases }

// Values that counters take as a label from one of the sources above or from
// the enumerations. A counter with another one has to be added here together
// with the source of its names.
var knownLabels = []string{
	"f.Reason",
	"reasonName(refusal.Reason)",
	"reasonLabel(refused.Reason)",
	"string(decision.Reason)",
	"reason",
}

// CollectReasons reads the reasons from the enumerations and from the sources
// of the module at root.
func CollectReasons(root string) (*Reasons, error) {
	r := &Reasons{Refusals: map[string]bool{}, Retries: map[string]bool{}, Releases: map[string]bool{}}
	addEnum(r.Refusals, shardpb.Reason_name, "REASON_")
	addEnum(r.Refusals, configpb.Reason_name, "REASON_")
	addEnum(r.Refusals, rpcpb.RunRefusal_name, "RUN_REFUSAL_")
	for _, source := range constantSources {
		if err := addConstants(source.set(r), filepath.Join(root, source.path), source.prefix); err != nil {
			return nil, err
		}
	}
	if err := addReturned(r.Retries, filepath.Join(root, "internal/leaderclient/client.go"), "retryReason"); err != nil {
		return nil, err
	}
	return r, r.addUses(filepath.Join(root, "internal"))
}

func addEnum(set map[string]bool, names map[int32]string, prefix string) {
	for number, name := range names {
		if number != 0 {
			set[strings.ToLower(strings.TrimPrefix(name, prefix))] = true
		}
	}
}

func addConstants(set map[string]bool, path, prefix string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return fmt.Errorf("docsgen: %w", err)
	}
	found := false
	for name, value := range stringConstants(file) {
		if strings.HasPrefix(name, prefix) {
			set[value] = true
			found = true
		}
	}
	if !found {
		return fmt.Errorf("docsgen: %s has no constant %s…", path, prefix)
	}
	return nil
}

// addReturned adds the strings that a function returns first.
func addReturned(set map[string]bool, path, function string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return fmt.Errorf("docsgen: %w", err)
	}
	declaration, ok := file.Scope.Lookup(function).Decl.(*ast.FuncDecl)
	if !ok {
		return fmt.Errorf("docsgen: %s has no function %s", path, function)
	}
	ast.Inspect(declaration, func(n ast.Node) bool {
		if s, ok := n.(*ast.ReturnStmt); ok && len(s.Results) > 0 {
			if text, ok := literal(s.Results[0]); ok && text != "" {
				set[text] = true
			}
		}
		return true
	})
	return nil
}

// addUses adds the literal reasons of counters and errors, and refuses labels
// from unknown sources.
func (r *Reasons) addUses(folder string) error {
	return filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		return r.addFile(path)
	})
}

// addFile adds the literal reasons of one file.
func (r *Reasons) addFile(path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return fmt.Errorf("docsgen: %w", err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if useErr := r.addUse(n); useErr != nil && err == nil {
			err = fmt.Errorf("docsgen: %s: %w", path, useErr)
		}
		return true
	})
	return err
}

// reasonPattern is the form of a reason; other texts in a field Reason are
// messages.
var reasonPattern = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

func (r *Reasons) addUse(n ast.Node) error {
	switch n := n.(type) {
	case *ast.KeyValueExpr:
		if key, ok := n.Key.(*ast.Ident); ok && key.Name == "Reason" {
			if text, ok := literal(n.Value); ok && reasonPattern.MatchString(text) {
				r.Refusals[text] = true
			}
		}
	case *ast.CallExpr:
		return r.addCounter(n)
	}
	return nil
}

// addCounter adds the label of a call like metrics.Retries.WithLabelValues.
func (r *Reasons) addCounter(call *ast.CallExpr) error {
	if methodOf(call) != "WithLabelValues" {
		return nil
	}
	var set map[string]bool
	counter, _ := call.Fun.(*ast.SelectorExpr).X.(*ast.SelectorExpr)
	if counter == nil {
		return nil
	}
	switch counter.Sel.Name {
	case "Refusals":
		set = r.Refusals
	case "Retries":
		set = r.Retries
	case "ReleasedHolds":
		set = r.Releases
	default:
		return nil
	}
	if text, ok := literal(call.Args[0]); ok {
		set[text] = true
		return nil
	}
	if label := types.ExprString(call.Args[0]); !slices.Contains(knownLabels, label) {
		return fmt.Errorf("%s counts reasons from an unknown source, %s", counter.Sel.Name, label)
	}
	return nil
}
