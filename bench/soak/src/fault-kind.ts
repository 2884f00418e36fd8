/**
What happens from outside: `stop` sends SIGTERM and starts the node again, `kill` and `killAll` send SIGKILL, `pause` sends
SIGSTOP and later SIGCONT; `store…` misbehave as the stand-in's faults; `cut…` break the node's way to the store; endpoints
`break` answers off, answer `spoiled` bytes, `refuse` before running, or `leave`; `configure` changes the configuration.
*/
export type FaultKind =
	| 'stop' | 'kill' | 'killAll' | 'pause'
	| 'storeRefuse' | 'storeSilent' | 'storeCompact' | 'storeLose'
	| 'cutSilent' | 'cutReset' | 'cutSlow'
	| 'break' | 'spoil' | 'refuse' | 'leave'
	| 'configure';
