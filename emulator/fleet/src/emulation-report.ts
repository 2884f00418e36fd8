import type {AttemptCounts} from './attempt-counts.ts';
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
	Share of the requests that were answered late.
	*/
	readonly late: number;
	/**
	Answers that were broken off after their start, and requests that were answered with 502.
	*/
	readonly cut: number;
	readonly badGateway: number;
	readonly attempts: AttemptCounts;
	/**
	Prompt tokens that engines prefilled, those of shared parts that some engine had prefilled before, and preempted requests.
	*/
	readonly readTokens: number;
	readonly readAgainTokens: number;
	readonly preempted: number;
	/**
	Requests that engines refused since they were full or overloaded.
	*/
	readonly engineRefusals: number;
	/**
	Connections that nodes opened to engines.
	*/
	readonly connections: number;
	/**
	Engines that crashed under a request that crashes them, and arrivals of it long after the third crash.
	*/
	readonly crashes: number;
	readonly lateCrashArrivals: number;
	/**
	Requests that reached engines beyond the limits that these had named.
	*/
	readonly excessRequests: number;
	/**
	Number of times that a node ignored a cooldown or draining signal of an engine.
	*/
	readonly brokenNotices: number;
};
