package check

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode"
)

const (
	// maskedPrefix is the number of characters of a key that are shown; operators recognize a key by them.
	maskedPrefix = 4
	// minMaskedKey is the length of the shortest key of which characters are shown, so that at least half of each key stays unknown.
	minMaskedKey = 2 * maskedPrefix
)

// Mask returns a text that identifies an API key to operators without showing it: its first four characters and its length. Of keys shorter than eight characters it returns only the length.
func Mask(key string) string {
	runes := []rune(key)
	if len(runes) < minMaskedKey {
		return fmt.Sprintf("a key of %d characters", len(runes))
	}
	return fmt.Sprintf("key %s... of %d characters", printable(string(runes[:maskedPrefix])), len(runes))
}

// printable returns the text as it is, or quoted if it is empty or contains characters that would disturb the output.
func printable(text string) string {
	if text == "" || strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsGraphic(r) || r == unicode.ReplacementChar }) {
		return strconv.Quote(text)
	}
	return text
}

// maxPlainNumber is the number from which on numbers are written with an exponent: a float has 15 exact digits.
const maxPlainNumber = 1e15

// number formats a number with as few digits as identify it.
func number(x float64) string {
	if math.Abs(x) >= maxPlainNumber {
		return strconv.FormatFloat(x, 'g', -1, 64)
	}
	return strconv.FormatFloat(x, 'f', -1, 64)
}
