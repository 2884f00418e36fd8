/**
Exchange of load updates with peers.
*/
export type LoadSync = {
	/**
	Sends what changed since the last call to linked relays, and in a member interval to members; `false` if nothing was sent. All that
	had arrived by `readAt` must have been read; the time of the call by default.
	*/
	readonly send: (isMemberInterval: boolean, readAt?: number) => boolean;
	/**
	Sends the full load to a node that has just been linked.
	*/
	readonly sendFull: (node: string) => void;
	/**
	Applies a peer's message; throws `ERR_VALVESADDLE_MESSAGE_INVALID` if it is malformed.
	*/
	readonly applyLoadUpdate: (parameters: unknown, node: string) => void;
	/**
	Removes an incarnation of an endpoint that has been removed or replaced.
	*/
	readonly removeEndpoint: (endpoint: string) => void;
	/**
	Removes all load that was received over a lost link.
	*/
	readonly removeLink: (node: string) => void;
};
