package escrow

import "flag"

// A fixed seed makes every run draw the same histories, so that the result of CI is reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
