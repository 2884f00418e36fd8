import type Emittery from 'emittery';
import type {
	AcquireReply,
	AcquireRequest,
	ProgressReport,
	RegisterRequest,
	ReleaseReport,
} from '@valvesaddle/messages';
import type {Configuration, Endpoint} from '@valvesaddle/types';
import type {LoadReport} from './load-report.ts';
import type {PoolEvents} from './pool-events.ts';
import type {PoolStatus} from './pool-status.ts';

/**
The one place where the work of a pool is admitted, ordered and placed.
*/
export type PoolDispatcher = {
	readonly events: Emittery<PoolEvents>;
	/**
	Answers at once or when the request's turn comes.
	*/
	readonly acquire: (request: AcquireRequest) => Promise<AcquireReply>;
	readonly cancel: (requestId: string) => void;
	readonly release: (report: ReleaseReport) => void;
	readonly progress: (node: string, reports: readonly ProgressReport[]) => void;
	/**
	Counts grants that another dispatcher gave.
	*/
	readonly register: (request: RegisterRequest) => void;
	/**
	Forgets a node's waiting requests; its grants run out with their lease.
	*/
	readonly dropNode: (node: string) => void;
	readonly observeLoad: (endpointId: string, report: LoadReport) => void;
	readonly configure: (configuration: Configuration, leaving: ReadonlySet<string>) => void;
	/**
	Expires, ejects, brings back; called several times a second.
	*/
	readonly tick: () => void;
	/**
	Ends the duty: all that wait are told to ask elsewhere.
	*/
	readonly close: () => number;
	readonly endpoints: () => readonly Endpoint[];
	readonly status: () => PoolStatus;
	readonly isIdle: () => boolean;
};
