package metrics_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"bergamotbank/event"
	"bergamotbank/process/metrics"
)

// eventRecorder keeps the last recorded event.
type eventRecorder struct {
	event event.Event
}

func (l *eventRecorder) Record(e event.Event) { l.event = e }

func TestRecorderAppliesOrigin(t *testing.T) {
	origin := metrics.Origin{Service: "ordering", Server: "ordering-1", Domain: "junin"}
	cases := []struct {
		name        string
		given, want event.Event
	}{
		{
			"an event about the process",
			event.Event{Kind: event.DrainStarted},
			event.Event{Kind: event.DrainStarted, Service: "ordering", Server: "ordering-1", Domain: "junin"},
		},
		{
			"an event about the process's backend server",
			event.Event{Kind: event.FlowsGivenUp, Server: "ordering-1"},
			event.Event{Kind: event.FlowsGivenUp, Service: "ordering", Server: "ordering-1", Domain: "junin"},
		},
		{
			"an event about another server",
			event.Event{Kind: event.ServerSilent, Server: "ordering-2", Domain: "pasco"},
			event.Event{Kind: event.ServerSilent, Server: "ordering-2", Domain: "pasco"},
		},
		{
			"an event about another domain",
			event.Event{Kind: event.DomainOut, Domain: "pasco"},
			event.Event{Kind: event.DomainOut, Domain: "pasco"},
		},
	}
	for _, c := range cases {
		convey.Convey("The recorder applies its origin to "+c.name+" only if it is about this process or its server", t, func() {
			var last eventRecorder
			metrics.NewRecorder(&last, zap.NewNop(), origin).Record(c.given)
			convey.So(last.event, convey.ShouldResemble, c.want)
		})
	}
}
