/**
What happens from outside: `stop` sends SIGTERM and starts the node again, `kill` and `killAll` send SIGKILL, `pause` sends
SIGSTOP and later SIGCONT; `store…` misbehave as the stand-in's faults; `cut…` break the node's way to the store; endpoints
`break` answers off, answer `spoiled` bytes, `refuse` before running, `overload` by refusing and asking for a pause, `stall` within a
stream and go on, are `late` with the first byte, `leave` by their entries, or `announce` in their answers that they leave long before
their entries do; `limit` the requests that they accept a second; `crash` sends the same request again and again, which ends each process that runs it; `configure` changes the configuration, `reload` sends SIGHUP, `thin` slows some callers' way to a node.
*/
export type FaultKind =
	| 'stop' | 'kill' | 'killAll' | 'pause'
	| 'storeRefuse' | 'storeSilent' | 'storeCompact' | 'storeLose'
	| 'cutSilent' | 'cutReset' | 'cutSlow'
	| 'break' | 'spoil' | 'refuse' | 'leave'
	| 'overload' | 'announce'
	| 'crash' | 'limit'
	| 'stall' | 'late' | 'reload' | 'thin'
	| 'configure';
