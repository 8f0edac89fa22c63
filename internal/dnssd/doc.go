// Package dnssd works with DNS-SD records (RFC 6763): it browses domains for data nodes, follows their changes, and describes
// our own Flight service. It holds DNS messages and what they mean; internal/membership decides who is a member. A hostile or
// broken server can harm its own records and nothing else.
//
//	follower.go      one followed zone: polls, and what is published of it
//	browse.go        fetching its records by questions
//	transfer.go      and by zone transfers
//	client.go        questions: their budget, and which answers count
//	records.go       the records of a zone
//	instance.go      the data nodes in them
//	instancename.go  names of instances
//	txt.go           TXT records
//	notify.go        NOTIFY messages
//	service.go       the records of our own service
package dnssd
