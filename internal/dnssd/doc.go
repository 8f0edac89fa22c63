// Package dnssd works with DNS-SD records (RFC 6763): it browses domains for data nodes, follows their changes, and serves the records
// of our own Flight service. It handles DNS messages and their content; internal/membership decides who is a member. A hostile
// or broken server can affect only its own records. A zone in this package is a DNS zone, not an availability zone of data nodes.
//
//	follower.go      one followed DNS zone: polling it and publishing its data nodes
//	browse.go        fetching its records by queries
//	transfer.go      fetching its records by zone transfer
//	client.go        queries: their rate limit, and which answers are accepted
//	records.go       the records of a zone
//	instance.go      the data nodes in the records
//	instancename.go  names of instances
//	txt.go           TXT records
//	notify.go        NOTIFY messages
//	service.go       the records of our own service
package dnssd
