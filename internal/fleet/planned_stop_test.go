package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPlannedStopEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	s := NewPlannedStop(ctx, time.Hour, time.Second)
	is.Equal(s.NoticeEnd, time.Hour+time.Second)
	is.True(s.GraceEnd > time.Hour+59*time.Second && s.GraceEnd <= time.Hour+time.Minute)
	is.Equal(NewPlannedStop(t.Context(), time.Hour, time.Second).GraceEnd, time.Duration(0))
}

func TestPlannedStopCapsTimeLimits(t *testing.T) {
	is := is.New(t)
	var none *PlannedStop
	is.Equal(none.Cap(time.Minute), time.Minute)
	is.True(!none.NoticeOver(time.Hour))
	s := &PlannedStop{NoticeEnd: 2 * time.Second, GraceEnd: 30 * time.Second}
	is.Equal(s.Cap(20*time.Second), 20*time.Second)
	is.Equal(s.Cap(time.Minute), 30*time.Second-answerMargin)
	is.True(!s.NoticeOver(2*time.Second - 1))
	is.True(s.NoticeOver(2 * time.Second))
	is.Equal((&PlannedStop{}).Cap(time.Minute), time.Minute)
}
