package state

import "flag"

// A fixed seed makes rapid generate the same histories in every run, so that CI results are reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
