// Package conf reads settings files in INI format and reports all problems of a file at once.
package conf
