/**
A gateway process whose processor time is profiled.
*/
export type ProfiledNode = {
	readonly callers: string;
	/**
	File with its profile, once it has stopped.
	*/
	readonly profile: string;
	readonly pid: () => number;
	readonly stop: () => Promise<void>;
};
