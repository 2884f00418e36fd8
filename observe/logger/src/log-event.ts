/**
A structured log line: `name` is the event, the other properties are its fields.
*/
export type LogEvent =
	| {readonly name: 'node-state'; readonly from: string; readonly to: string; readonly open?: number}
	| {readonly name: 'configuration-in-force'; readonly revision: number; readonly changeId: string; readonly source: string}
	| {readonly name: 'configuration-rejected'; readonly reason: string}
	| {readonly name: 'kv-state'; readonly reachable: boolean; readonly reason?: string}
	| {readonly name: 'peer-state'; readonly peer: string; readonly reachable: boolean; readonly reason?: string}
	| {readonly name: 'dispatcher-opened'; readonly duty: string}
	| {readonly name: 'dispatcher-closed'; readonly duty: string; readonly waiting: number}
	| {readonly name: 'dispatcher-moved'; readonly duty: string; readonly from: string; readonly to: string}
	| {readonly name: 'endpoint-state'; readonly pool: string; readonly endpoint: string; readonly from: string; readonly to: string}
	| {readonly name: 'claim-shard-reloaded'; readonly shard: number; readonly claims: number}
	| {readonly name: 'listening'; readonly what: string; readonly address: string}
	| {readonly name: 'internal-failure'; readonly where: string; readonly reason: string}
	| {readonly name: 'endpoint-believed'; readonly endpoint: string; readonly pool?: string; readonly state: string; readonly revision: number; readonly source: string}
	| {
		readonly name: 'endpoint-incarnation'; readonly endpoint: string; readonly born: number | undefined; readonly before: number | undefined;
		readonly revision: number; readonly source: string;
	}
	| {
		readonly name: 'endpoint-outdated'; readonly endpoint: string; readonly born: number | undefined; readonly believed: number | undefined;
		readonly revision: number; readonly source: string;
	}
	| {readonly name: 'entry-lapsed'; readonly id: string; readonly revision: number; readonly graceMs: number}
	| {readonly name: 'overlay-changed'; readonly nodes: number; readonly relays: number; readonly isRelay: boolean; readonly parent: string | undefined}
	| {readonly name: 'store-following'; readonly isFollowing: boolean; readonly confirmedAgoMs: number}
	| {
		readonly name: 'beliefs-advanced'; readonly from: number; readonly to: number; readonly changes: number; readonly version: number | undefined;
		readonly source: string;
	}
	| {
		readonly name: 'peer-ahead'; readonly peer: string; readonly peerRevision: number; readonly revision: number; readonly peerVersion: number;
		readonly version: number; readonly ageMs: number; readonly step: string;
	}
	| {readonly name: 'peer-late'; readonly peer: string; readonly isLate: boolean; readonly delayMs: number}
	| {readonly name: 'peer-state-taken'; readonly peer: string; readonly peerRevision: number; readonly peerVersion: number; readonly elapsedMs: number; readonly since?: number | undefined}
	| {readonly name: 'store-entry-unreadable'; readonly key: string; readonly revision: number; readonly reason: string}
	| {readonly name: 'store-watch-cut'; readonly reason: string; readonly revision: number}
	/**
	Number of endpoints of a pool that are reserved for streams, and of the streams that they were planned for.
	*/
	| {readonly name: 'endpoints-reserved'; readonly pool: string; readonly reserved: number; readonly streams: number}
	| {readonly name: 'duty-taken'; readonly duty: string; readonly token: number}
	| {readonly name: 'duty-lost'; readonly duty: string; readonly token: number; readonly reason: string}
	| {readonly name: 'duty-step-failed'; readonly duty: string; readonly step: string; readonly reason: string}
	| {readonly name: 'duty-called'; readonly call: string; readonly answer: string; readonly reason: string; readonly milliseconds: number}
	| {
		readonly name: 'usage-reported'; readonly window: number; readonly accounts: number; readonly requests: number; readonly token: number;
		readonly answer: string;
	}
	| {
		readonly name: 'replicas-wanted'; readonly pool: string; readonly count: number; readonly ready: number; readonly open: number;
		readonly tokensPerS: number; readonly reason: string;
	}
	| {
		readonly name: 'replicas-ordered'; readonly pool: string; readonly dataCentre: string; readonly isSpot: boolean; readonly count: number;
		readonly ready: number; readonly token: number; readonly answer: string;
	}
	| {readonly name: 'settings-read'; readonly isAccepted: boolean; readonly reason: string}
	| {readonly name: 'metrics-unavailable'; readonly address: string; readonly reason: string}
	| {readonly name: 'node-registration'; readonly isDone: boolean; readonly reason: string}
	| {
		readonly name: 'request-admitted'; readonly request: string; readonly route: string; readonly version: number;
		readonly account: string | undefined; readonly priority: number; readonly promptTokens: number; readonly outputTokens: number;
		readonly waitMs: number | undefined;
	}
	| {
		readonly name: 'request-refused'; readonly request: string; readonly code: string; readonly reason: string;
		readonly version: number | undefined;
	}
	| {
		readonly name: 'body-refused'; readonly request: string; readonly account: string; readonly bytes: number; readonly heldBytes: number;
		readonly waiting: number;
	}
	| {readonly name: 'body-slowed'; readonly request: string; readonly account: string | undefined}
	| {readonly name: 'answer-slowed'; readonly request: string; readonly endpoint: string}
	| {
		readonly name: 'answer-unread'; readonly request: string; readonly account: string; readonly bytes: number; readonly heldBytes: number;
		readonly stillMs: number; readonly isOverdue: boolean;
	}
	| {
		readonly name: 'rest-cut'; readonly request: string; readonly endpoint: string; readonly status: number; readonly bytes: number;
		readonly reason: string;
	}
	| {
		readonly name: 'connection-failed'; readonly code: string; readonly reason: string; readonly openAnswers: number; readonly status: number | undefined;
	}
	| {
		readonly name: 'request-admission'; readonly request: string; readonly kind: string; readonly predictedMs: number; readonly readMs: number; readonly objectiveMs: number;
		readonly elapsedMs: number;
	}
	| {
		readonly name: 'request-share'; readonly request: string; readonly account: string; readonly pool: string; readonly priority: number; readonly kind: string;
		readonly shareTokens: number; readonly askedTokens: number; readonly capacityTokens: number; readonly waitMs: number; readonly unseenFactor: number;
	}
	| {readonly name: 'demand-dropped'; readonly peer: string; readonly reason: string; readonly rows: number}
	| {readonly name: 'account-weight-invalid'; readonly account: string; readonly weight: string}
	| {
		readonly name: 'request-waited'; readonly request: string; readonly pool: string; readonly route: string; readonly waitedMs: number;
		readonly outcome: string; readonly waiting: number;
	}
	| {
		readonly name: 'request-sent'; readonly request: string; readonly endpoint: string; readonly pool: string; readonly attempt: number;
		readonly version: number; readonly candidates: number; readonly costMs: number; readonly heldTokens: number; readonly remainingMs: number;
		readonly newsAgeMs: number; readonly unseenFactor: number; readonly harmMs: number; readonly urgency: number; readonly unreadTokens: number;
		readonly memoryTokens: number; readonly roomInMs: number;
	}
	| {readonly name: 'impossible-memory'; readonly node: string; readonly endpoint: string; readonly toldTokens: number; readonly keptTokens: number}
	| {
		readonly name: 'endpoint-notice'; readonly request: string; readonly endpoint: string; readonly status: number;
		readonly retryAfterMs: number | undefined; readonly isLeaving: boolean;
	}
	| {readonly name: 'no-endpoint'; readonly request: string; readonly pool: string; readonly tries: number; readonly cooldownMs: number}
	| {
		readonly name: 'attempt-failed'; readonly request: string; readonly digest: string; readonly endpoint: string; readonly attempt: number; readonly cause: string; readonly reason: string;
		readonly mayHaveRun: boolean; readonly isRetried: boolean; readonly denial: string | undefined; readonly retries: number; readonly allowedRetries: number;
	}
	| {
		readonly name: 'attempt-kept'; readonly request: string; readonly attempt: number; readonly cause: string; readonly reason: string;
		readonly denial: string; readonly retries: number; readonly allowedRetries: number;
	}
	| {readonly name: 'endpoint-limit'; readonly request: string; readonly endpoint: string; readonly limit: number | 'invalid' | undefined}
	| {readonly name: 'load-update-rejected'; readonly peer: string; readonly reason: string}
	| {
		readonly name: 'endpoint-ejected'; readonly endpoint: string; readonly pool: string; readonly reason: string;
		readonly answers: number; readonly failures: number; readonly nodes: number;
	}
	| {readonly name: 'endpoint-returned'; readonly endpoint: string; readonly pool: string; readonly answers: number; readonly nodes: number}
	| {readonly name: 'endpoint-crashed'; readonly endpoint: string; readonly evidence: string; readonly requests: number}
	| {readonly name: 'request-quarantined'; readonly digest: string; readonly endpoints: readonly string[]}
	| {readonly name: 'move-reverted'; readonly request: string; readonly attempt: number; readonly cause: string; readonly reason: string}
	| {
		readonly name: 'event-loop-late'; readonly delayMs: number;
	}
	| {
		readonly name: 'answer-incomplete'; readonly request: string; readonly endedBy: string; readonly cause: string; readonly reason: string;
		readonly bytesSent: number; readonly bytesUnsent: number; readonly elapsedMs: number;
	}
	| {
		readonly name: 'request-ended'; readonly request: string; readonly route: string; readonly outcome: string; readonly status: number;
		readonly elapsedMs: number; readonly firstByteMs: number | undefined; readonly longestPauseMs: number; readonly pieces: number; readonly tries: number; readonly runs: number;
	};
