package account

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func newAccount(name string, keys ...string) *Account {
	a := &Account{Name: name}
	for _, key := range keys {
		a.Keys = append(a.Keys, DigestOf(key))
	}
	return a
}

func TestByKey(t *testing.T) {
	d, err := NewDirectory([]*Account{newAccount("a", "k1", "k2", "k2"), newAccount("b", "k3"), newAccount("c")})
	assert.NilError(t, err)
	assert.Equal(t, d.ByKey("k2").Name, "a")
	assert.Equal(t, d.ByKey("k3").Name, "b")
	assert.Assert(t, d.ByKey("k4") == nil)
	assert.Assert(t, d.ByKey("") == nil)
	assert.Equal(t, d.ByName("c").Name, "c")
	assert.Equal(t, d.Len(), 3)
}

func TestNamesThatAHeaderCarries(t *testing.T) {
	_, err := NewDirectory([]*Account{newAccount("a b"), newAccount("Ünité-3"), newAccount("a,b;c=\"d\"")})
	assert.NilError(t, err)
}

func TestNewDirectoryRejectsInvalid(t *testing.T) {
	cases := map[string][]*Account{
		"shared key":    {newAccount("a", "k"), newAccount("b", "k")},
		"no name":       {newAccount("")},
		"equal names":   {newAccount("a"), newAccount("a")},
		"empty key":     {newAccount("a", "k", "")},
		"line break":    {newAccount("a\r\nX: y")},
		"null byte":     {newAccount("a\x00")},
		"space behind":  {newAccount("a ")},
		"tab in front":  {newAccount("\ta")},
		"negative rate": {{Name: "a", Limit: Limit{PerSecond: -1}}},
		"endless burst": {{Name: "a", Limit: Limit{PerSecond: 1, Burst: math.Inf(1)}}},
		"NaN rate":      {{Name: "a", Limit: Limit{PerSecond: math.NaN()}}},
	}
	for name, accounts := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := NewDirectory(accounts)
			assert.ErrorIs(t, err, ErrInvalid)
		})
	}
}
