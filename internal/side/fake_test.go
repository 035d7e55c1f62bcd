package side

import (
	"context"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// fakeLog is a log service in memory.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string][]logsvc.Record
	changed chan struct{}
	// expired counts the records of a stream that are no longer kept.
	expired map[string]int
	down    bool
	// lose makes appends take effect without an answer.
	lose bool
}

// change changes the log under its lock.
func (l *fakeLog) change(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
}

// set makes the log fail, or serve again.
func (l *fakeLog) set(down bool) { l.change(func() { l.down = down }) }

// expire drops the records of a stream but for the last ones.
func (l *fakeLog) expire(stream string, keep int) {
	l.change(func() {
		if l.expired == nil {
			l.expired = make(map[string]int)
		}
		l.expired[stream] = len(l.streams[stream]) - keep
	})
}

func (l *fakeLog) Append(_ context.Context, stream string, data []byte) (logsvc.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, logsvc.ErrUnavailable
	}
	if l.streams == nil {
		l.streams = make(map[string][]logsvc.Record)
	}
	at := logsvc.Offset(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], logsvc.Record{Offset: at, Data: data})
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
	if l.lose {
		return 0, logsvc.ErrOutcomeUnknown
	}
	return at, nil
}

func (l *fakeLog) Read(ctx context.Context, stream string, from logsvc.Offset, limit int, wait time.Duration) (logsvc.Page, error) {
	timeout := time.After(wait)
	for {
		l.mu.Lock()
		records := l.streams[stream]
		expired := l.expired[stream]
		from = max(from, logsvc.Offset(expired+1))
		page := logsvc.Page{First: logsvc.Offset(expired + 1), Next: logsvc.Offset(len(records) + 1)}
		if int(from) <= len(records) && !l.down {
			page.Records = records[from-1 : min(len(records), int(from)-1+limit)]
		}
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed, down := l.changed, l.down
		l.mu.Unlock()
		if down {
			return logsvc.Page{}, logsvc.ErrUnavailable
		}
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return logsvc.Page{}, ctx.Err()
		}
	}
}
