package supervisor

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var conf = Config{Workers: 3, Hung: 5 * time.Second, Rise: 10 * time.Second, PauseMin: 100 * time.Millisecond, PauseMax: 3 * time.Second,
	Lived: 10 * time.Second, StopTime: 4 * time.Second}

func count(acts []Action, op Op) (n int) {
	for _, a := range acts {
		if a.Op == op {
			n++
		}
	}
	return n
}

// One that ends is started again, sooner where it lived for a while.
func TestStartedAgain(t *testing.T) {
	s := New(conf, 0)
	if acts, _ := s.Advance(0); count(acts, Start) != 3 {
		t.Fatalf("%v", acts)
	}
	now := Time(0)
	for i := range 3 {
		s.Beat(now, i)
	}
	var pauses []time.Duration
	for range 7 {
		s.Ended(now, 1, errors.New("x"))
		_, next := s.Advance(now)
		pauses = append(pauses, next-now)
		s.Beat(next, 0)
		s.Beat(next, 2)
		acts, _ := s.Advance(next)
		if len(acts) != 1 || acts[0] != (Action{Start, 1}) {
			t.Fatalf("%v", acts)
		}
		now = next
	}
	if pauses[0] != 100*time.Millisecond || pauses[3] != 800*time.Millisecond || pauses[6] != 3*time.Second {
		t.Errorf("%v", pauses)
	}
	for range 12 {
		now += time.Second
		for i := range 3 {
			s.Beat(now, i)
		}
	}
	s.Ended(now, 1, nil)
	if _, next := s.Advance(now); next-now != 100*time.Millisecond {
		t.Errorf("after a long life the pause is %v", next-now)
	}
}

// One that shows no life is killed, once, and started again when it has ended.
func TestHung(t *testing.T) {
	s := New(conf, 0)
	s.Advance(0)
	for now := Time(0); now <= 4*time.Second; now += time.Second {
		for i := range 3 {
			if i != 2 || now == 0 {
				s.Beat(now, i)
			}
		}
		if acts, _ := s.Advance(now); len(acts) > 0 {
			t.Fatalf("at %v: %v", now, acts)
		}
	}
	acts, _ := s.Advance(5 * time.Second)
	if len(acts) != 1 || acts[0] != (Action{Kill, 2}) {
		t.Fatalf("%v", acts)
	}
	s.Beat(5*time.Second, 0)
	s.Beat(5*time.Second, 1)
	if acts, _ := s.Advance(6 * time.Second); len(acts) > 0 {
		t.Errorf("killed twice: %v", acts)
	}
	s.Ended(6*time.Second, 2, errors.New("killed"))
	if acts, _ := s.Advance(6*time.Second + conf.PauseMin); count(acts, Start) != 1 {
		t.Errorf("%v", acts)
	}
}

// Where none ever comes up, all end, and the reason is told.
func TestNeverUp(t *testing.T) {
	s := New(conf, 0)
	s.Advance(0)
	s.Ended(time.Second, 0, errors.New("bad file"))
	acts, _ := s.Advance(time.Second)
	if count(acts, Term) != 2 || count(acts, Start) != 0 {
		t.Errorf("%v", acts)
	}
	s.Ended(2*time.Second, 1, nil)
	s.Ended(2*time.Second, 2, nil)
	if done, err := s.Done(); !done || err == nil {
		t.Errorf("%v %v", done, err)
	}
}

// A stop tells each once, kills those that are left when the time is up, starts none.
func TestStop(t *testing.T) {
	s := New(conf, 0)
	s.Advance(0)
	for i := range 3 {
		s.Beat(0, i)
	}
	s.Ended(0, 0, nil) // waits for its start
	s.Stop(time.Millisecond)
	acts, next := s.Advance(time.Millisecond)
	if count(acts, Term) != 2 || next != time.Millisecond+conf.StopTime {
		t.Errorf("%v %v", acts, next)
	}
	s.Ended(time.Second, 1, nil)
	if acts, _ := s.Advance(time.Second); len(acts) != 0 {
		t.Errorf("%v", acts)
	}
	if acts, _ := s.Advance(time.Millisecond + conf.StopTime); len(acts) != 1 || acts[0] != (Action{Kill, 2}) {
		t.Errorf("%v", acts)
	}
	s.Ended(5*time.Second, 2, nil)
	if done, err := s.Done(); !done || err != nil {
		t.Errorf("%v %v", done, err)
	}
}

// In any history: none is started twice, killed or told while it is not up, left
// hung, or started after a stop; and what is asked is asked in time.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(conf, 0)
		up, beat, told := make([]bool, 3), make([]Time, 3), make([]bool, 3)
		now, stopped := Time(0), Time(-1)
		ever := false
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			acts, next := s.Advance(now)
			for _, a := range acts {
				switch a.Op {
				case Start:
					if up[a.Worker] || stopped >= 0 {
						t.Fatal("started though up or stopped")
					}
					up[a.Worker], beat[a.Worker] = true, now+conf.Rise-conf.Hung
				case Term:
					if !up[a.Worker] || stopped < 0 || told[a.Worker] {
						t.Fatal("told though not up, not stopped, or twice")
					}
					told[a.Worker] = true
				case Kill:
					if !up[a.Worker] || stopped < 0 && now < beat[a.Worker]+conf.Hung {
						t.Fatal("killed though alive")
					}
					up[a.Worker] = false
					s.Ended(now, a.Worker, errors.New("killed"))
				}
			}
			for i := range up {
				if up[i] && stopped < 0 && now >= beat[i]+conf.Hung {
					t.Fatalf("worker %d is left hung at %v", i, now)
				}
			}
			if done, err := s.Done(); err != nil || done {
				return
			}
			if next <= now && len(acts) == 0 {
				t.Fatalf("it wants to come back at %v, and it is %v", next, now)
			}
			now = min(next, now+time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(t, "worker")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if up[i] && ever {
					up[i] = false
					s.Ended(now, i, errors.New("gone"))
				}
			case 1:
				if stopped < 0 && rapid.IntRange(0, 9).Draw(t, "stop") == 0 {
					s.Stop(now)
					stopped = now
				}
			default:
				if s.Beat(now, i); up[i] {
					beat[i], ever = now, true
				}
			}
		}
	})
}
