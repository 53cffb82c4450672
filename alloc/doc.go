// Package alloc divides each service's slots over entry processes by the demand that they report; one entry process does it for each service, and none has to be the only one.
package alloc
