/**
A fault of an engine, or of a node:

- `crash`: loses its requests, connections and cache, and accepts requests again at once.
- `dark`: sends nothing, then restarts without its requests and cache.
- `slow`: takes longer for each step.
- `overload`: refuses requests, with or without a cooldown.
- `leave`: signals in its answers that it drains, but not in its entry in the store.
- `limit`: names a limit of requests per second in its answers.
- `crashing-request`: a request comes again and again at any node, and crashes each engine that begins to run it.
- `pause`: stands still, then goes on with what it had.
- `foreign-prompt`: prefills a prompt that no node has sent.
- `node-pause`: a node stands still; afterwards its expired timers run before what has arrived meanwhile.
*/
export type EmulationFault = {
	readonly kind: 'crash' | 'dark' | 'slow' | 'overload' | 'leave' | 'limit' | 'crashing-request' | 'pause' | 'foreign-prompt' | 'node-pause';
	/**
	Index of the engine, or of the node.
	*/
	readonly engine: number;
	readonly atMs: number;
	readonly forMs: number;
	/**
	Factor on the times of a slow engine, share of requests that an overloaded one refuses, requests per second that one accepts, repeats per second of a crashing request, or
	tokens of a foreign prompt.
	*/
	readonly factor: number;
	/**
	Cooldown that an overloaded engine requests; none if omitted.
	*/
	readonly retryAfterMs?: number;
};
