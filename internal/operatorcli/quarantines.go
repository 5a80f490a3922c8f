package operatorcli

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"

	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/state/finding"
	"limpetwall/internal/state/fingerprint"
	"limpetwall/internal/transport/httpjson"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/platform"
)

// storeTimeout bounds a command's calls to the platform's store.
const storeTimeout = 10 * time.Second

// bindStore declares where the quarantines are kept if no entry is asked; nil is returned then.
func bindStore(c *cli) func() objectapi.API {
	address := c.set.Flags().String("store", "", "IP and port of the platform's metadata store, in place of an entry")
	c.set.Check(func(l *finding.List) {
		if _, err := netip.ParseAddrPort(*address); *address != "" && err != nil {
			l.Add("-store", "%q must be an IP and port: %v", *address, err)
		}
	})
	return func() objectapi.API {
		if *address == "" {
			return nil
		}
		return platform.NewStore(*address, httpjson.NewTransport(&http.Transport{}))
	}
}

func bindQuarantines(c *cli) func() int {
	store := bindStore(c)
	return func() int {
		entries, err := c.quarantines(store())
		if err != nil {
			return c.fail(err)
		}
		if *c.format == "json" {
			return c.printJSON(entries)
		}
		now := time.Now()
		return c.table("FINGERPRINT\tCUSTOMER\tSERVICE\tREQUEST\tCRASHES\tENDS IN", func(w *tabwriter.Writer) {
			for _, e := range entries {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", e.Fingerprint, e.Customer, e.Service, requestsOf(e), e.Crashes, endsIn(e, now))
			}
		})
	}
}

// requestsOf describes the requests that a quarantine holds.
func requestsOf(e quarantine.Entry) string {
	if e.Part != "" {
		return "prompts with part " + e.Part
	}
	return e.Method + " " + e.Target
}

// endsIn returns the rest of a quarantine.
func endsIn(e quarantine.Entry, now time.Time) string {
	left := time.UnixMilli(e.EndsMS).Sub(now).Round(time.Second)
	if left <= 0 {
		return "its next run is a trial"
	}
	return left.String()
}

func (c *cli) quarantines(store objectapi.API) (entries []quarantine.Entry, err error) {
	if store == nil {
		_, err = c.call(http.MethodGet, "/v1/quarantines", nil, &entries)
		return entries, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	return quarantine.ReadEntries(ctx, store)
}

func bindLift(c *cli) func() int {
	store := bindStore(c)
	return func() int {
		key, ok := fingerprint.Parse(c.args[0])
		if !ok {
			return c.fail(fmt.Errorf("%q: %w", c.args[0], fingerprint.ErrMalformed))
		}
		if err := c.endQuarantine(store(), key); err != nil {
			return c.fail(err)
		}
		if *c.format == "json" {
			return c.printJSON(map[string]string{"lifted": key.String()})
		}
		fmt.Fprintf(c.Out, "%s may run again\n", key)
		return ExitOK
	}
}

func (c *cli) endQuarantine(store objectapi.API, key fingerprint.Key) error {
	if store == nil {
		var answer []byte
		_, err := c.call(http.MethodDelete, "/v1/quarantines/"+key.String(), nil, &answer)
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	return quarantine.LiftEntry(ctx, store, key)
}
