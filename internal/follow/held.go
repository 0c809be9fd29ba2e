package follow

import "time"

// heldSet is a set of objects by name. After the store has come back from a copy, a
// listing may lack objects whose writers have not written them again yet; the set holds
// these for some time.
type heldSet[T any] struct {
	objects   map[string]T
	heldUntil map[string]time.Time // of the objects that the last listing lacked
}

func newHeldSet[T any]() heldSet[T] {
	return heldSet[T]{objects: map[string]T{}, heldUntil: map[string]time.Time{}}
}

// replace takes in a listing. Objects that it lacks are held until holdUntil.
func (s *heldSet[T]) replace(listed map[string]T, now, holdUntil time.Time) {
	for name := range s.objects {
		if _, found := listed[name]; found {
			continue
		}
		if now.Before(holdUntil) {
			s.heldUntil[name] = holdUntil
		} else {
			s.remove(name)
		}
	}
	for name, object := range listed {
		s.add(name, object)
	}
}

func (s *heldSet[T]) add(name string, object T) {
	s.objects[name] = object
	delete(s.heldUntil, name)
}

func (s *heldSet[T]) remove(name string) {
	delete(s.objects, name)
	delete(s.heldUntil, name)
}

// expire removes the objects whose hold has ended, and reports whether there was one.
func (s *heldSet[T]) expire(now time.Time) (expired bool) {
	for name, until := range s.heldUntil {
		if !now.Before(until) {
			s.remove(name)
			expired = true
		}
	}
	return expired
}
