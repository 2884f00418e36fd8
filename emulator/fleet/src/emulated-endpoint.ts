import type {EngineJob, LeftRequest} from '@valvesaddle/emulator-engine';
import type {EmulatedSender} from './emulated-sender.ts';
import type {Overload} from './overload.ts';

/**
An emulated engine with its connections.
*/
export type EmulatedEndpoint = {
	readonly id: string;
	readonly send: (job: Omit<EngineJob, 'onRefused'>, sender: EmulatedSender) => void;
	/**
	Ends a request; the second argument is told what it would have become.
	*/
	readonly abort: (id: string, request?: LeftRequest) => void;
	/**
	Stops the steps of the engine for some milliseconds. It keeps its requests, connections and cache.
	*/
	readonly pause: (milliseconds: number) => void;
	/**
	Adds a prompt that no node has sent or knows of. It is prefilled before all others.
	*/
	readonly addForeignPrompt: (tokens: number) => void;
	/**
	Breaks all connections, and removes all requests and the cache of the engine.
	*/
	readonly crash: () => void;
	/**
	Makes the engine send nothing, or restarts it. Both remove its requests and cache.
	*/
	readonly setUnresponsive: (isUnresponsive: boolean) => void;
	readonly setSlowness: (factor: number) => void;
	/**
	Sets how requests are refused; `undefined` accepts them again.
	*/
	readonly setOverload: (overload: Overload | undefined) => void;
	/**
	Signals in each later answer that the engine drains.
	*/
	readonly startDraining: () => void;
	readonly isLeaving: () => boolean;
	/**
	Names a limit of requests per second in each later answer; `undefined` names none.
	*/
	readonly setLimit: (perSecond: number | undefined) => void;
	/**
	The limit to name in an answer to a node, which is recorded as told.
	*/
	readonly takeLimit: (node: string) => number | undefined;
	/**
	Number of arrivals beyond what the limit allows.
	*/
	readonly countExcess: () => number;
	/**
	Number of times that a node ignored a cooldown or draining signal of the engine.
	*/
	readonly countBrokenNotices: () => number;
	/**
	Number of requests that the engine refused.
	*/
	readonly countRefusals: () => number;
	readonly counts: () => {readonly prefilledTokens: number; readonly recomputedTokens: number; readonly preempted: number};
};
