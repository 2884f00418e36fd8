/**
What a fleet is profiled under.
*/
export type ProfiledFleet = {
	readonly nodes: number;
	readonly endpoints: number;
	/**
	Requests per second to the whole fleet; 0 measures it idle.
	*/
	readonly requestsPerS: number;
	readonly seconds: number;
	/**
	Whether functions are sampled; the sampling itself costs more than an idle node, so times are measured without it.
	*/
	readonly isSampled: boolean;
	/**
	Flags of the runtime that are tried.
	*/
	readonly flags: readonly string[];
	/**
	A built binary that is measured in place of the sources.
	*/
	readonly binary: string | undefined;
};
