// Package platform speaks the platform's protocol: HTTP/1.1 to clients and discovery, frames to data nodes. It makes none of
// the coordinator's decisions, and nothing that a peer sends can end the process.
//
//	listener.go      the server of clients: accept, drain
//	connlimit.go     how many connections of clients there are, and which is closed for a new one
//	clientconn.go    the life of one of them
//	readahead.go     its reading side
//	httprequest.go   the HTTP codec: requests
//	httpresponse.go  and responses
//	watch.go         the watch on discovery
//	watchconn.go     one connection of it
//	pagecodec.go     the messages on it
//	chunkreader.go   bodies in chunks
//	connpool.go      the connections to data nodes, and their descriptors
//	nodeconn.go      the life of one of them; nodewriter.go, nodereader.go its two directions
//	attempttable.go  the attempts on it, and which answers may come
//	frame.go         the codec of frames; loadreport.go that of load reports
//	healthcheck.go   health checks on demand
package platform
