package docsgen

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"strings"
)

// transition is one permitted transition of a state machine.
type transition struct {
	from, to, trigger string
}

// Diagram returns the Mermaid diagram of the state machine that a Go file
// configures with the stateless library. The names are those of the file's
// constants; ignored triggers are left out.
func Diagram(path string) (string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return "", fmt.Errorf("docsgen: %w", err)
	}
	names := stringConstants(file)
	m := machine{names: names}
	ast.Inspect(file, m.visit)
	if m.err != nil {
		return "", fmt.Errorf("docsgen: %s: %w", path, m.err)
	}
	return m.mermaid(), nil
}

// stringConstants returns the values of a file's string constants by name.
func stringConstants(file *ast.File) map[string]string {
	values := make(map[string]string)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Names) != len(spec.Values) {
			return true
		}
		for i, name := range spec.Names {
			if text, ok := literal(spec.Values[i]); ok {
				values[name.Name] = text
			}
		}
		return true
	})
	return values
}

// literal returns the value of a string literal.
func literal(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(lit.Value)
	return text, err == nil
}

// machine collects the transitions of a file.
type machine struct {
	names       map[string]string
	initial     string
	transitions []transition
	err         error
}

func (m *machine) visit(n ast.Node) bool {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return true
	}
	switch methodOf(call) {
	case "NewStateMachine":
		m.initial = m.name(call.Args[0])
	case "Permit":
		m.add(transition{from: m.configured(call), trigger: m.name(call.Args[0]), to: m.name(call.Args[1])})
	case "PermitReentry":
		state := m.configured(call)
		m.add(transition{from: state, trigger: m.name(call.Args[0]), to: state})
	}
	return true
}

func methodOf(call *ast.CallExpr) string {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	return selector.Sel.Name
}

// configured returns the state of the Configure call at the start of a chain.
func (m *machine) configured(call *ast.CallExpr) string {
	for {
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			break
		}
		if selector.Sel.Name == "Configure" {
			return m.name(call.Args[0])
		}
		if call, ok = selector.X.(*ast.CallExpr); !ok {
			break
		}
	}
	m.err = fmt.Errorf("a transition without Configure")
	return ""
}

func (m *machine) name(e ast.Expr) string {
	if id, ok := e.(*ast.Ident); ok && m.names[id.Name] != "" {
		return m.names[id.Name]
	}
	m.err = fmt.Errorf("a state or trigger that is no string constant of the file")
	return ""
}

func (m *machine) add(t transition) {
	m.transitions = append(m.transitions, t)
}

func (m *machine) mermaid() string {
	var b strings.Builder
	b.WriteString("```mermaid\nstateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", m.initial)
	targets := make(map[string]bool)
	sources := make(map[string]bool)
	// The outermost call of a chain is visited first: print in source order.
	for _, t := range m.inSourceOrder() {
		fmt.Fprintf(&b, "    %s --> %s: %s\n", t.from, t.to, t.trigger)
		sources[t.from] = true
		targets[t.to] = true
	}
	for _, t := range m.inSourceOrder() {
		if targets[t.to] && !sources[t.to] {
			fmt.Fprintf(&b, "    %s --> [*]\n", t.to)
			delete(targets, t.to)
		}
	}
	b.WriteString("```\n")
	return b.String()
}

// inSourceOrder turns each run of transitions from one state round.
func (m *machine) inSourceOrder() []transition {
	var ordered []transition
	for start := 0; start < len(m.transitions); {
		end := start
		for end < len(m.transitions) && m.transitions[end].from == m.transitions[start].from {
			end++
		}
		for i := end - 1; i >= start; i-- {
			ordered = append(ordered, m.transitions[i])
		}
		start = end
	}
	return ordered
}
