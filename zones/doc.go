// Package zones keeps which availability zones operators have evacuated, whatever the order in which their records are read.
package zones
