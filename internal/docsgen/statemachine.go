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

// StateDiagram returns a Mermaid diagram of the state machine that a Go file configures with
// the stateless library. States and triggers are shown by the values of the file's string
// constants. Ignored triggers are left out.
func StateDiagram(path string) (string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return "", fmt.Errorf("docsgen: %w", err)
	}
	constants := stringConstants(file)
	m := stateMachine{constants: constants}
	ast.Inspect(file, m.visit)
	if m.err != nil {
		return "", fmt.Errorf("docsgen: %s: %w", path, m.err)
	}
	return m.mermaid(), nil
}

// stringConstants returns the values of the string constants and variables of a file by
// name.
func stringConstants(file *ast.File) map[string]string {
	values := make(map[string]string)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Names) != len(spec.Values) {
			return true
		}
		for i, name := range spec.Names {
			if text, ok := stringLiteral(spec.Values[i]); ok {
				values[name.Name] = text
			}
		}
		return true
	})
	return values
}

// stringLiteral returns the value of e and true if e is a string literal.
func stringLiteral(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(lit.Value)
	return text, err == nil
}

// stateMachine collects the transitions of a file. err is the last error.
type stateMachine struct {
	constants   map[string]string // values by name
	initial     string
	transitions []transition
	err         error
}

// visit records the initial state or the transition that a call configures.
func (m *stateMachine) visit(n ast.Node) bool {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return true
	}
	switch methodName(call) {
	case "NewStateMachine":
		m.initial = m.constant(call.Args[0])
	case "Permit":
		m.addTransition(transition{from: m.configuredState(call), trigger: m.constant(call.Args[0]), to: m.constant(call.Args[1])})
	case "PermitReentry":
		state := m.configuredState(call)
		m.addTransition(transition{from: state, trigger: m.constant(call.Args[0]), to: state})
	}
	return true
}

// methodName returns the name of the called method, or "" if the call is of another kind.
func methodName(call *ast.CallExpr) string {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	return selector.Sel.Name
}

// configuredState returns the argument of the Configure call at the start of the chain of
// calls that ends with call.
func (m *stateMachine) configuredState(call *ast.CallExpr) string {
	for {
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			break
		}
		if selector.Sel.Name == "Configure" {
			return m.constant(call.Args[0])
		}
		if call, ok = selector.X.(*ast.CallExpr); !ok {
			break
		}
	}
	m.err = fmt.Errorf("a transition is not in a chain of calls that starts with Configure")
	return ""
}

// constant returns the value of the constant that e names.
func (m *stateMachine) constant(e ast.Expr) string {
	if id, ok := e.(*ast.Ident); ok && m.constants[id.Name] != "" {
		return m.constants[id.Name]
	}
	m.err = fmt.Errorf("a state or trigger is not a string constant of the file")
	return ""
}

func (m *stateMachine) addTransition(t transition) {
	m.transitions = append(m.transitions, t)
}

// mermaid returns the diagram. States without an outgoing transition lead to the final
// state.
func (m *stateMachine) mermaid() string {
	var b strings.Builder
	b.WriteString("```mermaid\nstateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", m.initial)
	targets := make(map[string]bool)
	sources := make(map[string]bool)
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

// inSourceOrder returns the transitions in the order of the source. It reverses each run of
// transitions from the same state, since the outermost call of a chain, which is the last in
// the source, is visited first.
func (m *stateMachine) inSourceOrder() []transition {
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
