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

// Reasons holds the sets of reasons that occur in the code.
type Reasons struct {
	Refusals map[string]bool // of error responses and ibistray_refusals_total
	Retries  map[string]bool // of ibistray_retries_total
	Releases map[string]bool // of ibistray_released_holds_total
}

// constantSources lists the files that define reasons as constants with a given prefix.
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

// knownLabels lists the expressions in the code that counters use as their label and whose
// values come from constantSources or from the enums. To use another expression, add it here
// and add the source of its values to CollectReasons.
var knownLabels = []string{
	"f.Reason",
	"reasonName(refusal.Reason)",
	"reasonLabel(refused.Reason)",
	"string(decision.Reason)",
	"reason",
}

// CollectReasons returns the reasons in the protobuf enums and in the source files of the
// module at root. It returns an error if a counter uses a label from an unknown source.
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
	return r, r.addFiles(filepath.Join(root, "internal"))
}

// addEnum adds the names of an enum without prefix, in lower case. It leaves out the value 0,
// which means unspecified.
func addEnum(set map[string]bool, names map[int32]string, prefix string) {
	for number, name := range names {
		if number != 0 {
			set[strings.ToLower(strings.TrimPrefix(name, prefix))] = true
		}
	}
}

// addConstants adds the values of the string constants of a file whose names have the
// prefix. It returns an error if there are none.
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
		return fmt.Errorf("docsgen: %s has no string constant with prefix %s", path, prefix)
	}
	return nil
}

// addReturned adds the string literals that a function returns as its first result.
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
			if text, ok := stringLiteral(s.Results[0]); ok && text != "" {
				set[text] = true
			}
		}
		return true
	})
	return nil
}

// addFiles calls addFile for all source files in a directory and its subdirectories, except
// tests.
func (r *Reasons) addFiles(dir string) error {
	return filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		return r.addFile(path)
	})
}

// addFile adds the reasons that occur in a file as literals. It returns an error if a counter
// uses a label from an unknown source.
func (r *Reasons) addFile(path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return fmt.Errorf("docsgen: %w", err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if nodeErr := r.addNode(n); nodeErr != nil && err == nil {
			err = fmt.Errorf("docsgen: %s: %w", path, nodeErr)
		}
		return true
	})
	return err
}

// reasonPattern matches reasons. Other strings in a field named Reason are messages.
var reasonPattern = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// addNode adds the reason in a literal field named Reason or in the label of a counter.
func (r *Reasons) addNode(n ast.Node) error {
	switch n := n.(type) {
	case *ast.KeyValueExpr:
		if key, ok := n.Key.(*ast.Ident); ok && key.Name == "Reason" {
			if text, ok := stringLiteral(n.Value); ok && reasonPattern.MatchString(text) {
				r.Refusals[text] = true
			}
		}
	case *ast.CallExpr:
		return r.addLabel(n)
	}
	return nil
}

// addLabel adds the label of a call such as metrics.Retries.WithLabelValues("timeout").
func (r *Reasons) addLabel(call *ast.CallExpr) error {
	if methodName(call) != "WithLabelValues" {
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
	if text, ok := stringLiteral(call.Args[0]); ok {
		set[text] = true
		return nil
	}
	if label := types.ExprString(call.Args[0]); !slices.Contains(knownLabels, label) {
		return fmt.Errorf("counter %s has a label from an unknown source: %s", counter.Sel.Name, label)
	}
	return nil
}
