import type {ClassReport} from './class-report.ts';

/**
Figures of one emulated run.
*/
export type EmulationReport = {
	readonly classes: Readonly<Record<string, ClassReport>>;
	/**
	Credit earned against credit owed over all classes, of the worst class, and of the worst second pair.
	*/
	readonly worth: number;
	readonly worstClass: number;
	readonly worstWindow: number;
	/**
	Prompt tokens that engines read, and those of shared parts that they had kept before.
	*/
	readonly readTokens: number;
	readonly readAgainTokens: number;
	readonly preempted: number;
	/**
	Connections that nodes opened to engines.
	*/
	readonly connections: number;
	/**
	Times at which a node did not heed what an engine had said of itself.
	*/
	readonly brokenNotices: number;
};
