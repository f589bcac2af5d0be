package caller

// Report is the result of a load run.
type Report struct {
	Name            string  `json:"name"`
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_seconds"`
	// Totals is the sum over all classes.
	Totals    Totals       `json:"totals"`
	Orders    *ClassReport `json:"orders,omitempty"`
	Releases  *ClassReport `json:"releases,omitempty"`
	Status    *ClassReport `json:"status,omitempty"`
	Downloads *ClassReport `json:"downloads,omitempty"`
	Echo      *ClassReport `json:"echo,omitempty"`
	// Unmet lists the enabled expectations that were not met.
	Unmet []string `json:"unmet"`
}

// Totals counts the outcomes that expectations and violations refer to.
type Totals struct {
	Responses           uint64 `json:"answers"`
	NotRun              uint64 `json:"not_run"`
	Unknown             uint64 `json:"unknown"`
	NotConnected        uint64 `json:"not_connected"`
	BrokenFlows         uint64 `json:"broken_flows"`
	CorruptedResponses  uint64 `json:"cut_answers"`
	WrongService        uint64 `json:"wrong_service"`
	MismatchedResponses uint64 `json:"crossed"`
}

// Add adds the totals of another run.
func (t *Totals) Add(other Totals) {
	t.Responses += other.Responses
	t.NotRun += other.NotRun
	t.Unknown += other.Unknown
	t.NotConnected += other.NotConnected
	t.BrokenFlows += other.BrokenFlows
	t.CorruptedResponses += other.CorruptedResponses
	t.WrongService += other.WrongService
	t.MismatchedResponses += other.MismatchedResponses
}

// ClassReport is the result of a load run for one class of requests. Latencies
// are those of complete responses, measured from the arrival, in milliseconds.
type ClassReport struct {
	Answered     uint64  `json:"answered"`
	NotRun       uint64  `json:"not_run"`
	Unknown      uint64  `json:"unknown"`
	Rejected     uint64  `json:"rejected"`
	NotConnected uint64  `json:"not_connected"`
	Broken       uint64  `json:"broken"`
	Timeout      uint64  `json:"timeout"`
	Corrupted    uint64  `json:"cut"`
	WrongService uint64  `json:"wrong_service"`
	Mismatched   uint64  `json:"crossed"`
	Gap          uint64  `json:"gap"`
	Canceled     uint64  `json:"canceled"`
	Overrun      uint64  `json:"overrun"`
	Retries      uint64  `json:"repeats"`
	Bytes        int64   `json:"bytes"`
	Lines        uint64  `json:"lines"`
	P50          float64 `json:"p50_ms"`
	P99          float64 `json:"p99_ms"`
	P999         float64 `json:"p999_ms"`
	Max          float64 `json:"max_ms"`
	// Connect holds the time to establish flows, which is part of the latency.
	Connect ConnectReport `json:"connect"`
	Series  []Second      `json:"series"`
	Samples []Sample      `json:"samples"`
}

// ConnectReport holds the time to establish flows, in milliseconds.
type ConnectReport struct {
	Flows uint64  `json:"flows"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func (r *ClassReport) setCounts(counts [outcomeCount]uint64) {
	r.Answered = counts[OutcomeAnswered]
	r.NotRun = counts[OutcomeNotRun]
	r.Unknown = counts[OutcomeUnknown]
	r.Rejected = counts[OutcomeRejected]
	r.NotConnected = counts[OutcomeNotConnected]
	r.Broken = counts[OutcomeBroken]
	r.Timeout = counts[OutcomeTimeout]
	r.Corrupted = counts[OutcomeCorrupted]
	r.WrongService = counts[OutcomeWrongService]
	r.Mismatched = counts[OutcomeMismatched]
	r.Gap = counts[OutcomeGap]
	r.Canceled = counts[OutcomeCanceled]
	r.Overrun = counts[OutcomeOverrun]
}

// classes returns the classes that took part in the run.
func (r *Report) classes() []*ClassReport {
	var classes []*ClassReport
	for _, class := range []*ClassReport{r.Orders, r.Releases, r.Status, r.Downloads, r.Echo} {
		if class != nil {
			classes = append(classes, class)
		}
	}
	return classes
}

// computeTotals computes Totals from the classes.
func (r *Report) computeTotals() {
	for _, class := range r.classes() {
		r.Totals.Responses += class.Answered
		r.Totals.NotRun += class.NotRun
		r.Totals.Unknown += class.Unknown
		r.Totals.NotConnected += class.NotConnected
		r.Totals.BrokenFlows += class.Broken + class.Timeout + class.Gap
		r.Totals.CorruptedResponses += class.Corrupted
		r.Totals.WrongService += class.WrongService
		r.Totals.MismatchedResponses += class.Mismatched
	}
}
