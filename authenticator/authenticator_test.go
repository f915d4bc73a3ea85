package authenticator_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

func ExampleAuthenticator_Check() {
	rules := &parser.Rules{Keys: []parser.Key{{ID: "web", Team: "leads", Hash: authenticator.Hash("secret")}}}
	var a authenticator.Authenticator
	key, err := a.Check(rules, "secret")
	fmt.Println(key.Team, err)
	_, err = a.Check(rules, "guess")
	fmt.Println(classifier.VerdictOf(err), classifier.As(err).Code)
	// Output:
	// leads <nil>
	// not-run unauthorized
}

func TestCheckUsesTheGivenRules(t *testing.T) {
	secret, err := authenticator.NewSecret()
	require.NoError(t, err)
	other, err := authenticator.NewSecret()
	require.NoError(t, err)
	require.NotEqual(t, secret, other)
	require.Len(t, secret, 47)
	require.True(t, authenticator.IsHash(authenticator.Hash(secret)))
	require.False(t, authenticator.IsHash(secret))

	given := &parser.Rules{Keys: []parser.Key{
		{ID: "web", Team: "leads", Hash: authenticator.Hash(secret)},
		{ID: "ops", Operator: true, Hash: authenticator.Hash(other)},
	}}
	withdrawn := &parser.Rules{Keys: given.Keys[1:]}
	tests := []struct {
		name     string
		rules    *parser.Rules
		secret   string
		operator bool
		want     classifier.Code
	}{
		{"team key", given, secret, false, ""},
		{"withdrawn key", withdrawn, secret, false, classifier.Unauthorized},
		{"key present again", given, secret, false, ""},
		{"hash sent as key", given, authenticator.Hash(secret), false, classifier.Unauthorized},
		{"no key", given, "", false, classifier.Unauthorized},
		{"no rules", nil, secret, false, classifier.Unready},
		{"operator key", given, other, true, ""},
		{"team key for an operator's call", given, secret, true, classifier.Forbidden},
	}
	var a authenticator.Authenticator
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			check := a.Check
			if tt.operator {
				check = a.CheckOperator
			}
			_, err := check(tt.rules, tt.secret)
			if tt.want == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, tt.want, classifier.As(err).Code)
			require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		})
	}
}

func TestBearerToken(t *testing.T) {
	for header, want := range map[string]string{
		"Bearer abc": "abc", "bearer abc ": "abc", "Basic abc": "", "": "", "Bearer": "", "abc": "",
	} {
		require.Equal(t, want, authenticator.BearerToken(http.Header{"Authorization": {header}}), header)
	}
}

func BenchmarkCheck(b *testing.B) {
	rules := &parser.Rules{Keys: []parser.Key{{ID: "web", Team: "leads", Hash: authenticator.Hash("secret")}}}
	var a authenticator.Authenticator
	for b.Loop() {
		if _, err := a.Check(rules, "secret"); err != nil {
			b.Fatal(err)
		}
	}
}
