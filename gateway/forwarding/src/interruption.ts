import type {FailureCause} from './failure-cause.ts';

/**
Who ended an answer before it was complete, and why.
*/
export type Interruption = {
	readonly endedBy: 'caller' | 'endpoint' | 'deadline' | 'node';
	readonly cause: FailureCause | 'timeout' | 'unread' | 'no-endpoint' | 'disconnected' | 'shutdown' | 'closed';
	readonly reason: string;
};
