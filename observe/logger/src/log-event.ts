/**
A change of state worth a line. `name` says which; the rest are its facts.
*/
export type LogEvent =
	| {readonly name: 'node-state'; readonly from: string; readonly to: string}
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
	| {readonly name: 'internal-failure'; readonly where: string; readonly reason: string};
