// Package check finds mistakes in a configuration of the platform before operators write it: values out of range, entries that can never match a request, limits that contradict each other, and what differs from the version in force. It makes no calls.
package check
