// Package conf reads INI settings and reports every problem of a file at once.
package conf
