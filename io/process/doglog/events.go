package doglog

import "log/slog"

// Events of the start and stop of a node and of its services: 1000 to 1099.
var (
	NodeStarted        = define(1001, "node-started", slog.LevelInfo)
	NodeReady          = define(1002, "node-ready", slog.LevelInfo)
	NodeDraining       = define(1003, "node-draining", slog.LevelInfo)
	NodeStopped        = define(1004, "node-stopped", slog.LevelInfo)
	ListenFailed       = define(1005, "listen-failed", slog.LevelError)
	ServiceRestarted   = define(1006, "service-restarted", slog.LevelError)
	DrainTimedOut      = define(1007, "drain-timed-out", slog.LevelWarn)
	ControlOverran     = define(1008, "control-overran", slog.LevelWarn)
	TraceExportFailed  = define(1009, "trace-export-failed", slog.LevelWarn)
	AdminRequestFailed = define(1010, "admin-request-failed", slog.LevelWarn)
	StopStep           = define(1011, "stop-step", slog.LevelInfo)
	NodeLagging        = define(1012, "node-lagging", slog.LevelWarn)
)

// Events of requests: 1100 to 1199. They can occur for each request and have to
// be logged through a Limiter.
var (
	RequestRefused     = define(1101, "request-refused", slog.LevelDebug)
	RequestUnknown     = define(1102, "request-unknown", slog.LevelWarn)
	RequestPanicked    = define(1103, "request-panicked", slog.LevelError)
	ChildWithoutToken  = define(1104, "child-without-token", slog.LevelWarn)
	CredentialRejected = define(1105, "credential-rejected", slog.LevelWarn)
	AnswerTruncated    = define(1106, "answer-truncated", slog.LevelWarn)
	ResendsUsedUp      = define(1108, "resends-used-up", slog.LevelInfo)
	PeerKeyRejected    = define(1109, "peer-key-rejected", slog.LevelWarn)
	RequestFinished    = define(1110, "request-finished", slog.LevelDebug)
	KeyGivenTwice      = define(1111, "key-given-twice", slog.LevelWarn)
	AnswerMalformed    = define(1112, "answer-malformed", slog.LevelWarn)
	AnswerUnframed     = define(1113, "answer-unframed", slog.LevelWarn)
	RequestFailed      = define(1114, "request-failed", slog.LevelInfo)
	GuardRefused       = define(1115, "guard-refused", slog.LevelInfo)
	TargetUnanswered   = define(1116, "target-unanswered", slog.LevelWarn)
	PeerUnanswered     = define(1117, "peer-unanswered", slog.LevelWarn)
	PeerCallRejected   = define(1118, "peer-call-rejected", slog.LevelWarn)
	RequestLate        = define(1119, "request-late", slog.LevelWarn)
)

// Events of the target beside the node: 1200 to 1299.
var (
	TargetReady        = define(1201, "target-ready", slog.LevelInfo)
	TargetDied         = define(1202, "target-died", slog.LevelWarn)
	TargetDraining     = define(1203, "target-draining", slog.LevelInfo)
	TargetHealthFailed = define(1204, "target-health-failed", slog.LevelWarn)
	SlotsChanged       = define(1205, "slots-changed", slog.LevelInfo)
	LimitChanged       = define(1206, "limit-changed", slog.LevelDebug)
	CutoffRaised       = define(1207, "cutoff-raised", slog.LevelWarn)
	CutoffLowered      = define(1208, "cutoff-lowered", slog.LevelInfo)
	RampStarted        = define(1209, "ramp-started", slog.LevelInfo)
	RampEnded          = define(1210, "ramp-ended", slog.LevelInfo)
)

// Events of key ranges: 1300 to 1399.
var (
	RangeTaken        = define(1301, "range-taken", slog.LevelInfo)
	RangeTakenOver    = define(1302, "range-taken-over", slog.LevelWarn)
	RangeHandedOver   = define(1303, "range-handed-over", slog.LevelInfo)
	RangeLost         = define(1304, "range-lost", slog.LevelWarn)
	RangeRenewFailed  = define(1305, "range-renew-failed", slog.LevelWarn)
	RangePromised     = define(1306, "range-promised", slog.LevelInfo)
	RangeReleased     = define(1307, "range-released", slog.LevelWarn)
	RecordsReceived   = define(1308, "records-received", slog.LevelInfo)
	RecordsSendFailed = define(1309, "records-send-failed", slog.LevelError)
	RangeCapped       = define(1310, "range-capped", slog.LevelInfo)
	RangeCapLifted    = define(1311, "range-cap-lifted", slog.LevelInfo)
)

// Events of membership: 1400 to 1499.
var (
	MemberJoined    = define(1401, "member-joined", slog.LevelInfo)
	MemberChanged   = define(1402, "member-changed", slog.LevelInfo)
	MemberSuspected = define(1403, "member-suspected", slog.LevelInfo)
	MemberFailed    = define(1404, "member-failed", slog.LevelWarn)
	MemberLeft      = define(1405, "member-left", slog.LevelInfo)
	SelfRefuted     = define(1406, "self-refuted", slog.LevelInfo)
	SeedFailed      = define(1407, "seed-failed", slog.LevelWarn)
	DrainMarked     = define(1408, "drain-marked", slog.LevelInfo)
)

// Events of contracts: 1500 to 1599.
var (
	ContractInForce    = define(1501, "contract-in-force", slog.LevelInfo)
	ContractRejected   = define(1502, "contract-rejected", slog.LevelError)
	ContractReverted   = define(1503, "contract-reverted", slog.LevelWarn)
	ContractWriteBack  = define(1504, "contract-write-back", slog.LevelWarn)
	ContractPullFailed = define(1505, "contract-pull-failed", slog.LevelWarn)
	ContractRemoved    = define(1506, "contract-removed", slog.LevelWarn)
)

// Events of the platform's object service: 1600 to 1699.
var (
	PlatformLost     = define(1601, "platform-lost", slog.LevelWarn)
	PlatformBack     = define(1602, "platform-back", slog.LevelInfo)
	PlatformConflict = define(1603, "platform-conflict", slog.LevelInfo)
	WatchFailed      = define(1604, "watch-failed", slog.LevelWarn)
	ObjectInvalid    = define(1605, "object-invalid", slog.LevelError)
	WatcherChosen    = define(1606, "watcher-chosen", slog.LevelInfo)
)

// Events of requests that crash targets: 1700 to 1799.
var (
	SuspectReported   = define(1701, "suspect-reported", slog.LevelWarn)
	DigestQuarantined = define(1702, "digest-quarantined", slog.LevelError)
	DigestReleased    = define(1703, "digest-released", slog.LevelInfo)
	QuarantineTested  = define(1704, "quarantine-tested", slog.LevelInfo)
	CrashReportFailed = define(1705, "crash-report-failed", slog.LevelWarn)
)

// Events of a sidecar: 1800 to 1899.
var (
	HeartbeatRejected = define(1801, "heartbeat-rejected", slog.LevelWarn)
	HeartbeatOutdated = define(1802, "heartbeat-outdated", slog.LevelInfo)
	TargetState       = define(1803, "target-state", slog.LevelInfo)
	EntryWritten      = define(1804, "entry-written", slog.LevelInfo)
	EntrySeen         = define(1805, "entry-seen", slog.LevelInfo)
	EntryRemoved      = define(1806, "entry-removed", slog.LevelInfo)
	PeerUnreachable   = define(1807, "peer-unreachable", slog.LevelWarn)
	PeerReachable     = define(1808, "peer-reachable", slog.LevelInfo)
	StoreLost         = define(1809, "store-lost", slog.LevelWarn)
	StoreBack         = define(1810, "store-back", slog.LevelInfo)
	ConfigInForce     = define(1811, "config-in-force", slog.LevelInfo)
	ConfigRejected    = define(1812, "config-rejected", slog.LevelError)
	ConfigPullFailed  = define(1813, "config-pull-failed", slog.LevelWarn)
	LogLinesDropped   = define(1814, "log-lines-dropped", slog.LevelWarn)
	SettingsReloaded  = define(1815, "settings-reloaded", slog.LevelInfo)
	SettingsRejected  = define(1816, "settings-rejected", slog.LevelError)
	TargetAdvice      = define(1817, "target-advice", slog.LevelInfo)
	ConfigPartlyRead  = define(1818, "config-partly-read", slog.LevelError)
	ClientRejected    = define(1840, "client-rejected", slog.LevelWarn)
	EntryNotSent      = define(1819, "entry-not-sent", slog.LevelInfo)
	DepartureAnswered = define(1822, "departure-answered", slog.LevelInfo)
	DepartureNotSent  = define(1823, "departure-not-sent", slog.LevelInfo)
	DepartureRestored = define(1824, "departure-restored", slog.LevelWarn)
	StoreRestored     = define(1825, "store-restored", slog.LevelWarn)
	KeysUntrusted     = define(1820, "keys-untrusted", slog.LevelError)
	KeysTrusted       = define(1821, "keys-trusted", slog.LevelInfo)
	LenderLost        = define(1830, "lender-lost", slog.LevelWarn)
	LenderBack        = define(1831, "lender-back", slog.LevelInfo)
	QuotaFallback     = define(1832, "quota-fallback", slog.LevelWarn)
)
