package settings_test

import (
	"strings"
	"testing"
	"time"

	"limpetwall/internal/transport/settings"
)

func env(values map[string]string) settings.LookupEnv {
	return func(name string) (string, bool) { v, ok := values[name]; return v, ok }
}

func TestEveryFindingAtOnce(t *testing.T) {
	set := settings.New("x")
	set.Required("host", "the host")
	set.Int("count", 1, 1, 10, "things")
	set.Duration("wait", time.Second, time.Second, time.Minute, "time")
	err := set.Parse([]string{"-count", "eleven", "-wait=1h", "stray", "-nothing"}, env(nil))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, part := range []string{"-host: is required", `-count: "eleven"`, "-wait: is 1h0m0s", "command line: unexpected argument"} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("no %q in:\n%v", part, err)
		}
	}
}

func TestEnvironmentTwinsAndSecrets(t *testing.T) {
	set := settings.New("x")
	name := set.Flags().String("peer-listen", "", "")
	secret := set.Secret("key", "")
	count := set.Int("count", 1, 1, 10, "things")
	err := set.Parse([]string{"-count", "3"}, env(map[string]string{
		"LIMPETWALL_PEER_LISTEN": "here", "LIMPETWALL_KEY": "hidden", "LIMPETWALL_COUNT": "4",
	}))
	if err != nil || *name != "here" || *secret != "hidden" || *count != 3 {
		t.Errorf("%v %q %q %d", err, *name, *secret, *count)
	}
	var out strings.Builder
	set.Print(&out)
	if strings.Contains(out.String(), "hidden") || !strings.Contains(out.String(), `peer-listen="here"`) {
		t.Errorf("printed %s", out.String())
	}
}
