import type {
	OpenRequest,
	Selection,
	SelectionCriteria,
	Selector,
} from '@valvesaddle/selection';
import {canLeaveAttempt} from './can-leave-attempt.ts';
import type {LeavingPolicy} from './leaving-policy.ts';

type AttemptGateOptions = {
	readonly selector: Selector;
	readonly policy: LeavingPolicy;
	/**
	Incarnations of all endpoints.
	*/
	readonly incarnations: readonly string[];
	/**
	Whether the node first reads what has arrived and then decides.
	*/
	readonly isReadFirst: boolean;
	/**
	Whether an attempt that is ended on suspicion counts as a failure of its endpoint, which two of them eject.
	*/
	readonly isFailureCounted: boolean;
};

type OpenAttempt = {
	readonly selection: Selection;
	readonly openedAt: number;
	isOpen: boolean;
	/**
	Whether its endpoint has counted as stalled since the last chunk.
	*/
	isStalled: boolean;
	/**
	Whether it is suspected again because of a progress timeout, so that its end is a failure of the endpoint.
	*/
	isSilent: boolean;
	/**
	Whether the node has read what had arrived when it was suspected.
	*/
	isRead: boolean;
	isLeft: boolean;
	lastChunkAt: number | undefined;
	handleStalled: () => void;
};

/**
Times after which an attempt is overdue by itself: before its first chunk a multiple of the predicted time and a minimum, then a
multiple of its pause objective and the minimum. The same as in the stall monitor.
*/
const overdueFactor = 2;
const minimumOverdueMs = 400;
/**
Time after which the node has read what had arrived, in milliseconds.
*/
const readMs = 1;

/**
 Creates the gate by which a node decides whether it ends an attempt on suspicion. It stands between the forwarder and its selector:
 the forwarder ends an attempt only if the selector names another endpoint, so the gate keeps an attempt by naming none.

 @example
 const gated = createAttemptGate({selector, policy: 'overdue', incarnations, isReadFirst: false, isFailureCounted: true});
 */
export function createAttemptGate({selector, policy, incarnations, isReadFirst, isFailureCounted}: AttemptGateOptions): Selector {
	/**
	Attempts of each request, by the endpoints that it has tried.
	*/
	const attempts = new WeakMap<SelectionCriteria['tried'], OpenAttempt[]>();
	const openAttempts = new Set<OpenAttempt>();

	function measureOthersSilence(attempt: OpenAttempt): number {
		const {incarnation} = attempt.selection.endpoint;
		const now = performance.now();
		let shortest = Infinity;
		for (const other of openAttempts) {
			if (other !== attempt && other.selection.endpoint.incarnation === incarnation && other.lastChunkAt !== undefined) {
				shortest = Math.min(shortest, now - other.lastChunkAt);
			}
		}

		return shortest;
	}

	function predictHere({endpoint: {incarnation}}: Selection, criteria: SelectionCriteria): number {
		const tried = new Set(incarnations.filter(other => other !== incarnation));
		return selector.choose({...criteria, tried})?.costMs ?? Infinity;
	}

	function canLeave(attempt: OpenAttempt, next: Selection, criteria: SelectionCriteria): boolean {
		const {selection, openedAt, lastChunkAt, isStalled} = attempt;
		return canLeaveAttempt(policy, {
			isStalled,
			hasStarted: lastChunkAt !== undefined,
			silentMs: performance.now() - (lastChunkAt ?? openedAt),
			overdueMs: lastChunkAt === undefined ? (overdueFactor * selection.costMs) + minimumOverdueMs : Math.max(minimumOverdueMs, overdueFactor * criteria.pauseObjectiveMs),
			othersSilentMs: measureOthersSilence(attempt),
			hereMs: policy === 'shorter' ? predictHere(selection, criteria) : Infinity,
			nextMs: next.costMs,
		});
	}

	/**
	Suspects an attempt again when the node has read what had arrived, unless there was a chunk of it.
	*/
	function startWait(attempt: OpenAttempt): void {
		const {lastChunkAt} = attempt;
		setTimeout(() => {
			if (!attempt.isOpen || attempt.lastChunkAt !== lastChunkAt) {
				return;
			}

			attempt.isSilent = !attempt.isStalled;
			attempt.handleStalled();
			attempt.isSilent = false;
		}, readMs);
	}

	function decideNext(attempt: OpenAttempt, criteria: SelectionCriteria): Selection | undefined {
		if (isReadFirst && !attempt.isRead) {
			attempt.isRead = true;
			startWait(attempt);
			return undefined;
		}

		attempt.isRead = false;
		const next = selector.choose(criteria);
		attempt.isLeft = next !== undefined && canLeave(attempt, next, criteria);
		return attempt.isLeft ? next : undefined;
	}

	/**
	The end of an attempt as its endpoint's failures count it.
	*/
	function toCountedEnd({isLeft, isSilent}: OpenAttempt, end: Parameters<OpenRequest['close']>[0]): Parameters<OpenRequest['close']>[0] {
		if (isLeft && !isFailureCounted) {
			return 'cancelled';
		}

		return end === 'cancelled' && isSilent ? 'failed' : end;
	}

	function openRequest(selection: Selection, criteria: SelectionCriteria): OpenRequest {
		const request = selector.open(selection, criteria);
		const attempt: OpenAttempt = {
			selection, openedAt: performance.now(), isOpen: true, isStalled: false, isSilent: false, isRead: false, isLeft: false, lastChunkAt: undefined, handleStalled() {
				// Replaced by `onStalled`.
			},
		};
		attempts.set(criteria.tried, [...(attempts.get(criteria.tried) ?? []), attempt]);
		openAttempts.add(attempt);
		return {
			...request,
			markChunk() {
				attempt.lastChunkAt = performance.now();
				attempt.isRead = false;
				attempt.isStalled = false;
				request.markChunk();
			},
			onStalled(handler) {
				attempt.handleStalled = handler;
				request.onStalled(() => {
					attempt.isStalled = true;
					handler();
				});
			},
			close(end) {
				attempt.isOpen = false;
				openAttempts.delete(attempt);
				request.close(toCountedEnd(attempt, end));
			},
		};
	}

	return {
		...selector,
		choose(criteria) {
			const attempt = attempts.get(criteria.tried)?.findLast(({isOpen}) => isOpen);
			return attempt === undefined ? selector.choose(criteria) : decideNext(attempt, criteria);
		},
		open: openRequest,
	};
}
