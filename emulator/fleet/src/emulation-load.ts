import type {EngineProfile} from '@valvesaddle/emulator-engine';
import type {CallerClass} from './caller-class.ts';
import type {EmulationFault} from './emulation-fault.ts';

/**
A site and what comes to it. Times are in milliseconds.
*/
export type EmulationLoad = {
	readonly name: string;
	readonly lengthMs: number;
	readonly nodes: number;
	/**
	How often nodes tell each other of their work, and how long that and a request to an engine are under way.
	*/
	readonly newsMs: number;
	/**
	Turns of relays for each one of members; 1 tells all nodes each time.
	*/
	readonly intervalsPerMemberUpdate: number;
	readonly linkMs: number;
	/**
	Factor on all times, for each engine.
	*/
	readonly slowness: readonly number[];
	readonly engine: EngineProfile;
	readonly classes: readonly CallerClass[];
	/**
	Time for which a full engine asks for no more requests; without it it refuses only.
	*/
	readonly fullRetryAfterMs?: number;
	readonly faults: readonly EmulationFault[];
};
