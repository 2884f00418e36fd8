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
Admits, orders and places the requests of a pool.
*/
export type PoolDispatcher = {
	readonly events: Emittery<PoolEvents>;
	/**
	Resolves when the request is granted, refused or moved to another dispatcher.
	*/
	readonly acquire: (request: AcquireRequest) => Promise<AcquireReply>;
	readonly cancel: (requestId: string) => void;
	readonly release: (report: ReleaseReport) => void;
	readonly progress: (node: string, reports: readonly ProgressReport[]) => void;
	/**
	Adds open grants of an earlier dispatcher.
	*/
	readonly register: (request: RegisterRequest) => void;
	/**
	Removes a node's waiting requests, with the reply that they have moved, in case the node is still there; its grants expire
	with their lease.
	*/
	readonly dropNode: (node: string) => void;
	readonly observeLoad: (endpointId: string, report: LoadReport) => void;
	readonly configure: (configuration: Configuration, leaving: ReadonlySet<string>) => void;
	/**
	Expires grants and waiting requests and updates endpoint states; called several times a second.
	*/
	readonly tick: () => void;
	/**
	Answers all waiting requests with `moved`; returns their number.
	*/
	readonly close: () => number;
	readonly endpoints: () => readonly Endpoint[];
	readonly status: () => PoolStatus;
	readonly isIdle: () => boolean;
};
