package founding

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDecide(t *testing.T) {
	seeds := []string{"a", "b", "c"}
	witness := func(age time.Duration) Report { return Report{Witness: true, Age: age, Seeds: []string{"c", "b", "a"}} }
	other, leader := Report{}, Report{LeaderKnown: true}
	initial := func(address string) Report { return Report{Address: address, InitialMember: true, Seeds: seeds} }
	for name, c := range map[string]struct {
		address string
		running time.Duration
		reports []Report
		want    Decision
	}{
		"host that is no seed":                             {"d", 0, []Report{witness(0)}, Join},
		"first moments, nobody answered":                   {"a", 0, nil, Wait},
		"seeds killed at once, one runs on":                {"a", 50 * time.Millisecond, []Report{other, witness(time.Second)}, Begin},
		"all seeds killed at once, a standby host runs on": {"a", 50 * time.Millisecond, []Report{other, other, witness(time.Second)}, Begin},
		"the youngest witness is too old":                  {"a", 50 * time.Millisecond, []Report{witness(Window - 50*time.Millisecond)}, Wait},
		"one witness of two is too old":                    {"a", 0, []Report{witness(Window), witness(Window - 1)}, Begin},
		"witness that may have grown too old meanwhile":    {"a", time.Second, []Report{witness(Window - time.Second)}, Wait},
		"nobody can vouch any more":                        {"a", Window, []Report{other, witness(0)}, Join},
		"nobody has answered for long":                     {"a", time.Minute, nil, Wait},
		"came late, the other seeds wait for it":           {"a", time.Minute, []Report{initial("b"), initial("c")}, Begin},
		"came late, one seed waits":                        {"a", time.Minute, []Report{initial("b"), other}, Wait},
		"came late, one seed and another host wait":        {"a", time.Minute, []Report{initial("b"), initial("d")}, Wait},
		"own report": {"a", time.Minute, []Report{initial("b"), initial("a")}, Wait},
		"both others wait, but a group has a leader":           {"a", 0, []Report{initial("b"), initial("c"), leader}, Join},
		"both others wait for other members":                   {"a", 0, []Report{{Address: "b", InitialMember: true, Seeds: []string{"a", "b"}}, initial("c")}, Wait},
		"disk lost while the system runs":                      {"a", 50 * time.Millisecond, []Report{other, leader}, Join},
		"disk lost, a host that was started late is a witness": {"a", 50 * time.Millisecond, []Report{witness(0), leader}, Join},
		"disk lost, no leader, nobody runs since the start":    {"a", time.Second, []Report{other, other, other}, Wait},
		"hosts of the build before":                            {"a", time.Second, []Report{other, other}, Wait},
		"seeds have changed":                                   {"a", 0, []Report{{Witness: true, Seeds: []string{"a", "b", "d"}}}, Wait},
		"witnesses differ":                                     {"a", 0, []Report{witness(0), {Witness: true, Seeds: []string{"a"}}}, Wait},
		"unusable age":                                         {"a", 0, []Report{{Witness: true, Seeds: seeds, Age: -1}}, Wait},
	} {
		got := Decide(Input{Address: c.address, Seeds: seeds, Running: c.running, Reports: c.reports})
		assert.Equal(t, got.String(), c.want.String(), name)
	}
}
