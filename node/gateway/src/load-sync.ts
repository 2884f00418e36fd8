/**
Exchange of news of work with peers.
*/
export type LoadSync = {
	/**
	Tells what is new since the last call to linked relays, and to members when it is their turn; `false` when that is nothing.
	*/
	readonly send: (isMemberInterval: boolean) => boolean;
	/**
	Tells a node all that it has to know, as it has just been linked.
	*/
	readonly sendFull: (node: string) => void;
	/**
	Takes in a peer's message; throws `ERR_VALVESADDLE_MESSAGE_INVALID` for one of a wrong form.
	*/
	readonly applyLoadUpdate: (parameters: unknown, node: string) => void;
	/**
	Forgets an incarnation of an endpoint that is gone.
	*/
	readonly removeEndpoint: (endpoint: string) => void;
	/**
	Forgets all that was heard over a link that is lost.
	*/
	readonly removeLink: (node: string) => void;
};
