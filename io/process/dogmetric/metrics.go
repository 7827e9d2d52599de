package dogmetric

// Metrics of requests.
var (
	Requests        = define("requests", Labelled, "outcome")
	Refusals        = define("refusals", Labelled, "reason")
	ClassOffered    = define("class_offered", Labelled, "class")
	ClassCompleted  = define("class_completed", Labelled, "class")
	ClassRefused    = define("class_refused", Labelled, "class")
	GuardRefusals   = define("guard_refusals", Labelled, "reason")
	EntryLatency    = define("entry_latency", Latency, "ms")
	BytesIn         = define("bytes_in", Counter, "bytes")
	BytesOut        = define("bytes_out", Counter, "bytes")
	Panics          = define("panics", Counter, "requests")
	Departures      = define("departures", Labelled, "stage")
	ClientsRejected = define("clients_rejected", Labelled, "reason")
	SchedulingLag   = define("scheduling_lag", Latency, "ms")
)

// Metrics of retries and child calls.
var (
	RetriesSpent              = define("retries_spent", Counter, "attempts")
	ResendsRefused            = define("resends_refused", Counter, "requests")
	ChildCalls                = define("child_calls", Counter, "calls")
	ChildWithoutToken         = define("child_without_token", Counter, "calls")
	TruncatedAnswers          = define("truncated_answers", Counter, "answers")
	CredentialsRejected       = define("credentials_rejected", Counter, "requests")
	PeerKeysRejected          = define("peer_keys_rejected", Counter, "requests")
	EarlyRefusals             = define("early_refusals", Counter, "requests")
	ConnectionsOpened         = define("connections_opened", Counter, "connections")
	ConnectionsToTarget       = define("connections_to_target", Gauge, "connections")
	RequestsInProgress        = define("requests_in_progress", Gauge, "requests")
	DispatchesToService       = define("dispatches_to_service", Labelled, "service")
	DispatchesOtherDataCentre = define("dispatches_other_data_centre", Counter, "dispatches")
)

// Metrics of the target beside the node.
var (
	TargetInFlight  = define("target_in_flight", Gauge, "requests")
	TargetQueued    = define("target_queued", Gauge, "requests")
	TargetLimit     = define("target_limit", Gauge, "requests")
	TargetCutoff    = define("target_cutoff", Gauge, "priority")
	TargetLatency   = define("target_latency", Latency, "ms")
	QueueDelay      = define("queue_delay", Latency, "ms")
	TargetDeaths    = define("target_deaths", Counter, "deaths")
	TargetRamps     = define("target_ramps", Counter, "ramps")
	SuspectsHeld    = define("suspects_held", Gauge, "digests")
	QuarantinesHeld = define("quarantines_held", Gauge, "digests")
)

// Metrics of the quotas of workspaces.
var (
	QuotaRequests = define("quota_requests", Labelled, "result")
	QuotaMessages = define("quota_messages", Labelled, "kind")
	QuotaBytes    = define("quota_bytes", Counter, "bytes")
)

// Metrics of key ranges.
var (
	RangesOwned      = define("ranges_owned", Gauge, "ranges")
	RangeRenewals    = define("range_renewals", Counter, "writes")
	RangeTakeovers   = define("range_takeovers", Counter, "ranges")
	RangePromises    = define("range_promises", Counter, "promises")
	RecordsHeld      = define("records_held", Gauge, "records")
	RecordsReplayed  = define("records_replayed", Counter, "answers")
	DuplicatesCaught = define("duplicates_caught", Counter, "requests")
	MalformedAnswers = define("malformed_answers", Counter, "answers")
)

// Metrics of membership, contracts, the platform's object service and the control
// loop.
var (
	Members              = define("members", Gauge, "nodes")
	MemberFailures       = define("member_failures", Counter, "nodes")
	PeerMessages         = define("peer_messages", Counter, "messages")
	PeerBytes            = define("peer_bytes", Counter, "bytes")
	ContractGeneration   = define("contract_generation", LabelledGauge, "customer")
	ContractsRejected    = define("contracts_rejected", Counter, "contracts")
	ConfigProblems       = define("config_problems", Gauge, "routes")
	ConfigAgeMs          = define("config_age_ms", Gauge, "ms")
	PlatformCalls        = define("platform_calls", Labelled, "call")
	PlatformErrors       = define("platform_errors", Labelled, "call")
	PlatformLastAnswerMs = define("platform_last_answer_ms", Gauge, "ms")
	ControlSteps         = define("control_steps", Counter, "events")
	ControlTime          = define("control_time", Counter, "us")
)
