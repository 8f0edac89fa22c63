// Package platform implements the platform's protocol: HTTP/1.1 to clients and discovery, binary frames to data nodes. All
// scheduling decisions are left to the coordinator, and no input from a peer can end the process.
//
//	listener.go      server for clients: its limits, drain
//	acceptor.go      accept loop, and the wait for a place at the limit
//	connlimit.go     limit on client connections, and eviction to make room for new ones
//	clientconn.go    life cycle of a client connection
//	readahead.go     reading side of a client connection; socketstate.go asks its socket for the client's end
//	pace.go          the pace of errors
//	httphead.go      the grammar of HTTP heads and framing
//	httprequest.go   HTTP request parsing
//	httpresponse.go  HTTP response encoding
//	watch.go         watch on discovery
//	watchconn.go     one connection of the watch
//	pagecodec.go     messages received on the watch
//	chunkreader.go   chunked transfer coding
//	connpool.go      connections to data nodes, and their descriptors
//	nodeconn.go      life cycle of a data node connection; nodewriter.go and nodereader.go hold its two directions
//	attempttable.go  attempts on a data node connection, and which answers are expected
//	frame.go         frame format; framereader.go reads frames, loadreport.go parses load reports
//	healthcheck.go   health checks on demand
package platform
