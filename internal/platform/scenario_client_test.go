package platform

// clientScenarios test client connections: requests, responses, limits, eviction and closing.
var clientScenarios = []scenario{
	// A query that is given up is answered at once, with a Retry-After header.
	{"a query without a data node is refused at once", "n1", `
		c1 send query q1 2000 1
		wait 20ms
		c1 expect 503 after {"error":"refused"}`},
	// Data nodes must not keep working on parts whose client has left.
	{"the parts of a client that disconnects are cancelled", "n1", `
		c1 send query q1 2000 0
		n1 expect Q q1.0
		c1 close
		n1 expect X q1.0`},
	{"invalid requests are rejected", "n1", `
		c1 send query q1 2000 9
		c1 expect 400
		c1 send query q1 0 0
		c1 expect 400
		c1 send query q1 2000 0,0
		c1 expect 400
		c1 send raw "POST /report HTTP/1.1\r\nReq-Id: a\r\nReq-Owner: club\r\nReq-Deadline-Ms: 9\r\nContent-Length: 1\r\n\r\n{"
		c1 expect 400
		c1 send raw "POST /unknown HTTP/1.1\r\nReq-Id: a\r\nReq-Owner: club\r\nReq-Deadline-Ms: 900\r\nContent-Length: 24\r\n\r\n{\"shards\":[{\"shard\":0}]}"
		c1 expect 400
		c1 send raw "GET /up HTTP/1.1\r\n\r\n"
		c1 expect 200
		c1 send raw "GET /report HTTP/1.1\r\n\r\n"
		c1 expect 404
		c1 send raw "PUT /report HTTP/1.1\r\n\r\n"
		c1 expect 405
		c1 send raw "POST /report HTTP/1.1\r\nContent-Length: 70000\r\n\r\n"
		c1 expect 413 close
		c1 expect end
		c2 send raw "nonsense\r\n\r\n"
		c2 expect 400 close
		c3 send raw "POST /report HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
		c3 expect 400 close
		c4 send long
		c4 expect 431 close
		n1 expect -`},
	// An ambiguous request is rejected: read in two ways, it could be executed twice or lost.
	{"ambiguous framing and duplicate headers are rejected", "n1", `
		c1 send raw "POST /report HTTP/1.1\r\nContent-Length: \r\nTransfer-Encoding: chunked\r\n\r\n"
		c1 expect 400 close
		c2 send raw "POST /report HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}"
		c2 expect 400 close
		c3 send raw "POST /report HTTP/1.1\r\nContent-Length: 2\r\nReq-Id: a\r\nReq-Id: b\r\n\r\n{}"
		c3 expect 400 close
		c4 send raw "POST /report HTTP/1.9\r\nContent-Length: 2\r\n\r\n{}"
		c4 expect 400 close
		c5 send raw "POST /report HTTP/1.1\r\nContent-Length: -1\r\n\r\n"
		c5 expect 400 close
		c6 send query q1 +900 0
		c6 expect 400
		c7 send raw "POST /entry HTTP/1.1\r\nContent-Length: 2\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n{}"
		c7 expect 400 close
		n1 expect -`},
	// A misbehaving client must be closed within 3 s: a connection without a complete request ends 2 s after it was opened, however
	// slowly more arrives; later requests on it have 2 s each.
	{"silent clients and incomplete requests time out", "n1", `
		c1 send raw ""
		c2 send raw "POST /report HT"
		c3 send raw "GET /up HTTP/1.1\r\n\r\n"
		c3 expect 200
		wait 1500ms
		c2 send raw "TP/1.1\r\n"
		c3 send raw "GET /up HTTP/1.1\r\n"
		c1 expect -
		wait 490ms
		c2 expect -
		wait 20ms
		c1 expect end
		c2 expect 408 close
		c2 expect end
		wait 1400ms
		c3 expect -
		wait 100ms
		c3 expect 408 close`},
	// Clients that open a connection for each request and keep it may hold half of the limit. Beyond that, a connection that has
	// been idle for 2 s is closed, or else the one that was just answered.
	{"kept connections are closed at half of the limit", "n1 activeconns=4", `
		c1 send raw "GET /up HTTP/1.1\r\n\r\n"
		c1 expect 200 {}
		c2 send raw "GET /up HTTP/1.1\r\n\r\n"
		c2 expect 200 {}
		c3 send raw "GET /up HTTP/1.1\r\n\r\n"
		c3 expect 200 close {}
		c3 expect end
		c1 send raw "GET /up HTTP/1.1\r\n\r\n"
		c1 expect 200 {}
		wait 2s
		c1 send raw "GET /up HTTP/1.1\r\n\r\n"
		c1 expect 200 {}
		c4 send raw "GET /up HTTP/1.1\r\n\r\n"
		c4 expect 200 {}
		c2 expect end
		c1 expect -`},
	// Memory for bodies is limited: two stalled long bodies leave no room for a third, but a short one needs no reservation.
	{"stalled long bodies don't block short ones", "n1", `
		c1 send partial-body 60000 5000
		c2 send partial-body 60000 5000
		c3 send partial-body 60000 5000
		c3 expect 503 after close
		c3 expect end
		c4 send query q1 2000 0
		n1 expect Q q1.0
		n1 send A q1.0 ok v
		c4 expect 200
		wait 2s
		c1 expect 408 close
		c5 send partial-body 60000 60000
		c5 expect 400`},
	// Nine connections may be open; connections without a request are evicted first, then idle ones.
	{"silent and idle connections are evicted for new ones", "n1", `
		c1 send raw "GET /up HTTP/1.1\r\n\r\n"
		c1 expect 200
		wait 10ms
		c2 send raw "GET /up HTTP/1.1\r\n\r\n"
		c2 expect 200
		wait 1900ms
		c3 send query q1 2000 0
		n1 expect Q q1.0
		c4 send raw ""
		wait 1ms
		c5 send raw ""
		c6 send raw ""
		c7 send raw ""
		c8 send raw ""
		c9 send raw ""
		c10 send query q2 2000 0
		wait 100ms
		n1 expect Q q2.0
		n1 send A q2.0 ok v
		c10 expect 200
		c1 expect end
		c2 expect -
		c11 send query q3 2000 0
		wait 30ms
		n1 expect Q q3.0
		n1 send A q3.0 ok v
		c11 expect 200
		c2 expect end
		n1 send A q1.0 ok v
		c3 expect 200
		c4 expect -
		c12 send query q4 2000 0
		wait 300ms
		n1 expect Q q4.0
		n1 send A q4.0 ok v
		c12 expect 200
		c4 expect end
		c5 expect -`},
	{"a chunked body", "n1", `
		c1 send raw "POST /report HTTP/1.1\r\nReq-Id: a\r\nReq-Owner: club\r\nReq-Deadline-Ms: 900\r\nTransfer-Encoding: chunked\r\n\r\n"
		c1 send raw "e;x=1\r\n{\"shards\":[{\"s\r\n20\r\nhard\":0,\"weight\":1}],\"q\":\"text\"}\r\n0\r\nTrailer: 1\r\n\r\n"
		n1 expect Q a.0
		n1 send A a.0 ok v
		c1 expect 200
		c1 send raw "POST /report HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
		c1 expect 400 close`},
	// Requests accepted before and after SIGTERM are answered; connections close between requests.
	{"SIGTERM", "n1", `
		c1 send query q1 2000 0
		c2 send raw "GET /up HTTP/1.1\r\n\r\n"
		c2 expect 200
		n1 expect Q q1.0
		s1 send drain
		c3 send query q3 2000 0
		n1 expect Q q3.0
		n1 send A q3.0 ok v
		c3 expect 200 close
		c3 expect end
		c2 expect -
		s1 send close-idle
		c2 expect end
		c1 expect -
		n1 send A q1.0 ok v
		c1 expect 200 close
		c1 expect end
		c4 send raw "GET /up"
		wait 100ms
		c4 send raw " HTTP/1.1\r\n\r\n"
		c4 expect 200 close
		c5 send raw ""
		c5 expect -
		wait 1s
		c5 expect end`},
}
