package wqplacementmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaquay/core/wqdirectory"
)

// searcher is a server with a number of slots, a queue in order of arrival and a speed
// that changes over time.
type searcher struct {
	target     *wqdirectory.Target
	queueLimit int
	segments   []segment // speed over the whole run, in order of time
	running    []*job
	queue      []*job
	inTransit  []*job // sent to this searcher and not arrived
}

// segment is a time in which a searcher's speed is constant.
type segment struct {
	until time.Time
	speed float64 // work done in a unit of time; 0 in a pause
}

// job is one send of a request to a searcher.
type job struct {
	work     time.Duration // time that the request takes at speed 1
	endsAt   time.Time     // when it ends, once it runs
	finished func(answered bool)
}

// finish returns when work that begins at from ends.
func (s *searcher) finish(from time.Time, work time.Duration) time.Time {
	for i, g := range s.segments {
		if !from.Before(g.until) {
			continue
		}
		last := i == len(s.segments)-1
		if g.speed > 0 {
			needed := time.Duration(float64(work) / g.speed)
			if end := from.Add(needed); last || !end.After(g.until) {
				return end
			}
			work -= time.Duration(float64(g.until.Sub(from)) * g.speed)
		}
		from = g.until
	}
	return from.Add(work)
}

// finishOfNext returns when a job that arrives at now would end, with what is known to
// nobody but the model: the work of each job and the future speed. It returns false if
// the searcher would reject the job.
func (s *searcher) finishOfNext(now time.Time, work time.Duration) (time.Time, bool) {
	free := make([]time.Time, s.target.Searcher.Slots)
	for i := range free {
		free[i] = now
	}
	for i, j := range s.running {
		free[i] = j.endsAt
	}
	place := func(w time.Duration) time.Time {
		first := 0
		for i := range free {
			if free[i].Before(free[first]) {
				first = i
			}
		}
		free[first] = s.finish(free[first], w)
		return free[first]
	}
	waiting := 0
	for _, j := range slices.Concat(s.queue, s.inTransit) {
		place(j.work)
		waiting++
	}
	full := len(s.running) == len(free) && waiting >= s.queueLimit
	return place(work), !full
}

// arrive starts a job, queues it, or rejects it when the queue is full.
func (s *searcher) arrive(m *Model, j *job) {
	s.inTransit = remove(s.inTransit, j)
	switch {
	case len(s.running) < s.target.Searcher.Slots:
		s.start(m, j)
	case len(s.queue) < s.queueLimit:
		s.queue = append(s.queue, j)
	default:
		j.finished(false)
	}
}

func (s *searcher) start(m *Model, j *job) {
	j.endsAt = s.finish(m.now, j.work)
	s.running = append(s.running, j)
	m.at(j.endsAt, func() {
		s.running = remove(s.running, j)
		j.finished(true)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.start(m, next)
		}
	})
}

// cancel withdraws a job that has not begun. One that runs is run to its end.
func (s *searcher) cancel(j *job) { s.queue = remove(s.queue, j) }

func remove(jobs []*job, j *job) []*job {
	if i := slices.Index(jobs, j); i >= 0 {
		return slices.Delete(jobs, i, i+1)
	}
	return jobs
}

// newSegments draws the speed of a searcher over a run: a constant factor, pauses, and
// slow times.
func newSegments(f *Fleet, r *rand.Rand, start time.Time, slow bool) []segment {
	base := 1 / (1 + 0.6*r.Float64()) * 1.28 // mean near 1
	end := start.Add(f.Duration + f.Timeout)
	var segments []segment
	slowFrom, slowUntil, slowFactor := end, end, 1.0
	if slow {
		slowFrom = start.Add(time.Duration((0.2 + 0.4*r.Float64()) * float64(f.Duration)))
		slowUntil = slowFrom.Add(uniform(r, 5*time.Second, 8*time.Second))
		slowFactor = 5 + 7*r.Float64()
	}
	add := func(from, until time.Time, speed float64) {
		for _, cut := range []time.Time{slowFrom, slowUntil, until} {
			if !cut.After(from) {
				continue
			}
			cut = earlier(cut, until)
			v := speed
			if !from.Before(slowFrom) && from.Before(slowUntil) {
				v /= slowFactor
			}
			segments = append(segments, segment{until: cut, speed: v})
			from = cut
		}
	}
	for t := start; t.Before(end); {
		next := t.Add(uniform(r, 2400*time.Millisecond, 4500*time.Millisecond))
		if !f.Pauses {
			next = end
		}
		add(t, next, base)
		t = next
		if f.Pauses {
			t = next.Add(uniform(r, 100*time.Millisecond, 200*time.Millisecond))
			segments = append(segments, segment{until: t})
		}
	}
	return segments
}

func uniform(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Float64()*float64(to-from))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
