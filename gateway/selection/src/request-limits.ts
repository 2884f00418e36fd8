/**
Limits that endpoints name: requests per second that one accepts from all nodes together.
*/
export type RequestLimits = {
	/**
	Sets the limit of an incarnation, or removes it; `false` if that changes nothing.
	*/
	readonly didSet: (incarnation: string, perSecond: number | undefined) => boolean;
	/**
	Whether this node may send the endpoint a request now.
	*/
	readonly hasPermit: (incarnation: string) => boolean;
	/**
	Takes a permit for one request. `unlimited` without a limit.
	*/
	readonly takePermit: (incarnation: string) => 'unlimited' | 'granted' | 'denied';
	/**
	Milliseconds until some node may send the endpoint a request; 0 if this node may.
	*/
	readonly getWaitMs: (incarnation: string) => number;
};
