package account

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestApplyChange(t *testing.T) {
	digest := func(key string) *Digest { d := DigestOf(key); return &d }
	priority := func(n int) *int { return &n }
	cases := map[string]struct {
		change Change
		want   *Account
		err    error
	}{
		"key added":               {Change{AddKey: "k9"}, newAccount("a", "k1", "k2", "k9"), nil},
		"key already there":       {Change{AddKey: "k1"}, newAccount("a", "k1", "k2"), nil},
		"key of another account":  {Change{AddKey: "k3"}, nil, ErrKeyTaken},
		"key with a line break":   {Change{AddKey: "k\n9"}, nil, ErrInvalid},
		"key with a space behind": {Change{AddKey: "k9 "}, nil, ErrInvalid},
		"key removed":             {Change{RemoveKey: digest("k1")}, newAccount("a", "k2"), nil},
		"unknown key removed":     {Change{RemoveKey: digest("k3")}, nil, ErrUnknownKey},
		"last key removed":        {Change{Account: "b", RemoveKey: digest("k3")}, nil, ErrLastKey},
		"last key let go":         {Change{Account: "b", RemoveKey: digest("k3"), AllowLast: true}, newAccount("b"), nil},
		"limit":                   {Change{Limit: &Limit{PerSecond: 5, Burst: 1}}, &Account{Name: "a", Keys: newAccount("", "k1", "k2").Keys, Limit: Limit{PerSecond: 5, Burst: 1}}, nil},
		"negative limit":          {Change{Limit: &Limit{PerSecond: -1}}, nil, ErrInvalid},
		"limit that is no number": {Change{Limit: &Limit{PerSecond: math.NaN()}}, nil, ErrInvalid},
		"endless burst":           {Change{Limit: &Limit{PerSecond: 1, Burst: math.Inf(1)}}, nil, ErrInvalid},
		"priority":                {Change{Priority: priority(9)}, &Account{Name: "a", Keys: newAccount("", "k1", "k2").Keys, Priority: priority(9)}, nil},
		"priority out of range":   {Change{Priority: priority(10)}, nil, ErrInvalid},
		"unknown account":         {Change{Account: "x", AddKey: "k9"}, nil, ErrUnknownAccount},
		"nothing":                 {Change{}, nil, ErrInvalid},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d, err := NewDirectory([]*Account{newAccount("a", "k1", "k2"), newAccount("b", "k3")})
			assert.NilError(t, err)
			if c.change.Account == "" {
				c.change.Account = "a"
			}
			got, err := c.change.Apply(d)
			if c.err != nil {
				assert.ErrorIs(t, err, c.err)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, got.Equal(c.want))
			assert.Equal(t, len(d.ByName("a").Keys), 2, "the directory is not modified")
		})
	}
}

func TestFindKeysByDigest(t *testing.T) {
	a := newAccount("a", "k1", "k2", "k2")
	assert.Equal(t, len(a.FindKeys("")), 2)
	assert.DeepEqual(t, a.FindKeys(DigestOf("k1").String()), []Digest{DigestOf("k1")})
	assert.Equal(t, len(a.FindKeys("none")), 0)
	assert.Equal(t, len(DigestOf("k1").String()), 12)
}
