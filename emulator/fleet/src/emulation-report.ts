import type {ClassReport} from './class-report.ts';

/**
Results of one emulation.
*/
export type EmulationReport = {
	readonly classes: Readonly<Record<string, ClassReport>>;
	/**
	Share of the maximum credit that was earned: over all classes, in the worst class, and in the worst window.
	*/
	readonly worth: number;
	readonly worstClass: number;
	readonly worstWindow: number;
	/**
	Prompt tokens that engines prefilled, those of shared parts that some engine had prefilled before, and preempted requests.
	*/
	readonly readTokens: number;
	readonly readAgainTokens: number;
	readonly preempted: number;
	/**
	Connections that nodes opened to engines.
	*/
	readonly connections: number;
	/**
	Number of times that a node ignored a cooldown or draining signal of an engine.
	*/
	readonly brokenNotices: number;
};
