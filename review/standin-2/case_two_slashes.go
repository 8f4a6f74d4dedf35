package main

import "time"

// twoSlashes: some clients send paths that begin with two slashes.
func twoSlashes(s *setup) (int, error) {
	f, err := newFleet(s.root, s.dir, s.rec, 3)
	if err != nil {
		return failed, err
	}
	defer f.stop()
	for range 4 {
		if _, err := f.addSearcher("files", 4, 5*time.Millisecond); err != nil {
			return failed, err
		}
	}
	f.configure(1, 0, []string{"files"}, oneService("files", "/", "unsafe", "files", 4000))
	for _, v := range f.vms {
		if err := f.start(v, true, nil); err != nil {
			return failed, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return failed, err
	}
	c := &crowd{fleet: f, rec: s.rec}
	end := time.Now().Add(5 * time.Second)
	for _, v := range f.vms {
		for n := range 8 {
			target := "/archive/2026/dials"
			if s.trouble && n == 0 {
				target = "/" + target
			}
			c.add(v, 200*time.Millisecond, end, func() request {
				return request{method: "POST", target: target, deadline: 4 * time.Second}
			})
		}
	}
	c.wait.Wait()
	runs := f.runsByID()
	changed, ran := 0, 0
	for _, r := range c.results {
		for _, e := range runs[r.id] {
			ran++
			if e.path != r.target {
				s.rec.add("UNASKED id=%s was sent as %s %s to host %s and ran as %s %s: path %s of host %s", r.id, r.method, r.target, hostName, e.method, e.target, e.path, e.host)
				changed++
			}
		}
	}
	return s.verdict(changed > 0, "%d of %d runs were of another path than the client sent", changed, ran)
}
