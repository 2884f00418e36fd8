import type {RequestMetadata} from '@valvesaddle/gateway-types';

/**
A caller's request, with its number of events and its credit.
*/
export type Prompt = {
	readonly metadata: RequestMetadata;
	/**
	Whether an engine crashes when it begins to run the request.
	*/
	readonly isCrashing?: boolean;
	readonly events: number;
	/**
	Credit of an answer in time, and of a late one.
	*/
	readonly worth: number;
	readonly lateWorth: number;
};
