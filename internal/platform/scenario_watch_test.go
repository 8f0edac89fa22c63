package platform

// watchScenarios test the watch on discovery.
var watchScenarios = []scenario{
	{"the watch resumes after the last version when it ends or becomes silent", "n1 n2", `
		d1 expect GET /discovery/hosts?watch=1&after=41
		d1 send page {"version":42,"full":false,"servers":[{"id":"n1","addr":"n1","cell":0,"state":"SERVING","weight":1}]}
		d1 close
		wait 300ms
		d1 expect GET /discovery/hosts?watch=1&after=42
		d1 send blank-line
		wait 3500ms
		d1 send blank-line
		wait 3500ms
		d1 expect -
		wait 1s
		d1 expect end
		wait 300ms
		d1 expect GET /discovery/hosts?watch=1&after=42`},
	// Drains must take effect as soon as they are announced, by a change or by a complete list.
	{"a drain, a bad entry and a complete list are applied at once", "n1 n2", `
		d1 expect GET /discovery/hosts?watch=1&after=41
		d1 send page {"version":42,"servers":[7,{"id":"n1","addr":"n1","cell":0,"state":"DRAINING"}]}
		wait 10ms
		c1 send query q1 2000 0
		wait 20ms
		c1 expect 503 after {"error":"refused"}
		d1 send page {"version":43,"full":true,"servers":[{"id":"n1","addr":"n1","cell":0,"state":"SERVING"}]}
		wait 10ms
		c1 send query q2 2000 1
		wait 20ms
		c1 expect 503 after {"error":"refused"}
		c1 send query q3 2000 0
		n1 expect Q q3.0
		n1 send A q3.0 ok v
		c1 expect 200
		n2 expect -`},
	// When a reload changes the address, the old discovery is followed until the new one has sent its complete list, even if the
	// new one is established late, and not after that.
	{"the watch moves to another address", "n1 n2", `
		d1 expect GET /discovery/hosts?watch=1&after=41
		s1 send move d2
		d2 expect GET /discovery/hosts?watch=1
		d2 close
		d1 send page {"version":42,"servers":[{"id":"n1","addr":"n1","cell":0,"state":"DRAINING"}]}
		wait 10ms
		c1 send query q1 2000 0
		wait 20ms
		c1 expect 503 after {"error":"refused"}
		wait 200ms
		d2 expect GET /discovery/hosts?watch=1
		d1 expect -
		d2 send page {"version":7,"full":true,"servers":[{"id":"n1","addr":"n1","cell":0,"state":"SERVING"}]}
		d1 expect end
		c1 send query q2 2000 0
		n1 expect Q q2.0
		n1 send A q2.0 ok v
		c1 expect 200
		c1 send query q3 2000 1
		wait 20ms
		c1 expect 503 after {"error":"refused"}
		d2 close
		wait 300ms
		d2 expect GET /discovery/hosts?watch=1&after=7
		d1 expect -`},
	{"a second move before the first has finished, and the old address closes first", "n1", `
		d1 expect GET /discovery/hosts?watch=1&after=41
		s1 send move d2
		d2 expect GET /discovery/hosts?watch=1
		s1 send move d3
		d2 expect end
		d3 expect GET /discovery/hosts?watch=1
		d1 close
		d3 close
		wait 300ms
		d3 expect GET /discovery/hosts?watch=1
		d1 expect -
		d2 expect -
		c1 send query q1 2000 0
		n1 expect Q q1.0
		n1 send A q1.0 ok v
		c1 expect 200`},
	{"an invalid list ends only the watch", "n1", `
		d1 expect GET /discovery/hosts?watch=1&after=41
		d1 send page {"version":
		d1 expect end
		wait 300ms
		d1 expect GET /discovery/hosts?watch=1&after=41
		c1 send query q1 2000 0
		n1 expect Q q1.0`},
}
