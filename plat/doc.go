// Package plat is the only place that knows the platform's protocols: its log service and its host list.
package plat
