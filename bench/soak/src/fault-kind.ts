/**
What happens from outside: `stop` sends SIGTERM and starts the node again, `kill` and `killAll` send SIGKILL, `pause` sends
SIGSTOP and later SIGCONT; `store…` misbehave as the stand-in's faults; `cut…` break the node's way to the store; endpoints
`break` answers off, answer `spoiled` bytes, `refuse` before running, `overload` by refusing and asking for a pause, `leave` by their
entries, or `announce` in their answers that they leave long before their entries do; `configure` changes the configuration.
*/
export type FaultKind =
	| 'stop' | 'kill' | 'killAll' | 'pause'
	| 'storeRefuse' | 'storeSilent' | 'storeCompact' | 'storeLose'
	| 'cutSilent' | 'cutReset' | 'cutSlow'
	| 'break' | 'spoil' | 'refuse' | 'leave'
	| 'overload' | 'announce'
	| 'configure';
