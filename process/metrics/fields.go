package metrics

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bergamotbank/event"
)

// levelOf returns the log level of an event kind: warning if an operator may have to
// act on it, debug if it occurs with every request.
func levelOf(kind event.Kind) zapcore.Level {
	switch kind {
	case event.StoreUnreachable, event.VersionRejected, event.MassSilence, event.PeerSilent, event.ServerSilent:
		return zapcore.WarnLevel
	case event.RequestRefused, event.RequestHandedOff, event.RequestUnknown, event.RequestRepeated,
		event.FlowsRegistered, event.PacketsDropped, event.LimitChanged:
		return zapcore.DebugLevel
	default:
		return zapcore.InfoLevel
	}
}

// logFields returns the log fields for the fields of an event that are set.
func logFields(e event.Event) []zap.Field {
	texts := []struct{ name, value string }{
		{"service", e.Service},
		{"server", e.Server},
		{"domain", e.Domain},
		{"peer", e.Peer},
		{"request", e.Request},
		{"detail", e.Detail},
	}
	var set []zap.Field
	for _, text := range texts {
		if text.value != "" {
			set = append(set, zap.String(text.name, text.value))
		}
	}
	if e.Version != 0 {
		set = append(set, zap.Uint64("version", e.Version))
	}
	if e.Count != 0 {
		set = append(set, zap.Uint64("count", e.Count))
	}
	return set
}
