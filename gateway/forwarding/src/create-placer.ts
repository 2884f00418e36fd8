import type {Admission} from '@valvesaddle/admission';
import type {Selection, SelectionCriteria} from '@valvesaddle/selection';
import type {SendOutcome} from '@valvesaddle/waiting-room';
import {createWaiter} from './create-waiter.ts';
import type {Placer} from './placer.ts';
import type {PlacerOptions} from './placer-options.ts';
import {rankUrgency} from './rank-urgency.ts';

/**
Number of endpoints that are tried for one request, including those that refuse it or are unreachable; those that are full are not counted
where the request may wait.
*/
const maximumTriedEndpoints = 5;
/**
Time within which an endpoint always counts as having room, in milliseconds: for requests that go before what waits there, and at
endpoints of which the wait is not predicted.
*/
const anyTimeMs = 1e9;

/**
 Creates the placer of one request.

 @example
 const placer = createPlacer({tools, request, question, tried, admitter, crashes, refusals, retries, onSend, onRefused, onNoEndpoint});
 placer.place(false);
 */
export function createPlacer({tools, request, question, tried, admitter, crashes, refusals, retries, onSend, onRefused, onNoEndpoint}: PlacerOptions): Placer {
	const {selector, metrics, room, admission: {waitFactor}} = tools;
	const {route} = request;
	const isPredicted = request.isEnginePool && route.kind === 'stream';
	const isUrgent = route.priority === 0;
	const roomQuestion: SelectionCriteria = {...question, roomWithinMs: isUrgent || !isPredicted ? anyTimeMs : waitFactor * route.latencyObjectiveMs};
	let attempts = 0;
	let fullAttempts = 0;
	let lastIncarnation = '';
	let leaveRoom: (() => void) | undefined;

	function choose(criteria: SelectionCriteria): Selection | undefined {
		const startedAt = performance.now();
		const selection = attempts - fullAttempts < maximumTriedEndpoints ? selector.choose({...criteria, isolationKey: crashes.getIsolationKey()}) : undefined;
		metrics.timing('gateway.decision', performance.now() - startedAt);
		return selection;
	}

	function canStart(): boolean {
		return !crashes.isQuarantined() || crashes.takeTrial();
	}

	function sendAs(selection: Selection, admission: Admission): void {
		const late = admission.kind === 'send-late' ? choose({...question, urgency: rankUrgency(route, request.account, true)}) : undefined;
		onSend(late ?? selection);
	}

	/**
	Endpoint that has room, if no request waits that goes first.
	*/
	function findRoom(best: Selection | undefined): Selection | undefined {
		if (room === undefined || room.hasAhead(request.pool, route.priority)) {
			return undefined;
		}

		const hasRoom = best !== undefined && selector.hasRoom(best.endpoint, question);
		return hasRoom ? best : choose(roomQuestion);
	}

	/**
	Sends the request at its turn, if an endpoint has room and the budget allows the retry that it needs.
	*/
	function sendWaiting(hasTurn: (incarnation: string) => boolean, needsRetry: boolean): SendOutcome {
		if (needsRetry && !retries.hasRetry()) {
			return {kind: 'kept'};
		}

		const selection = choose({...roomQuestion, hasTurn});
		if (selection === undefined) {
			return {kind: 'kept'};
		}

		if (needsRetry && retries.spend({mayHaveRun: false}) !== undefined) {
			return {kind: 'kept'};
		}

		leaveRoom = undefined;
		if (canStart()) {
			onSend(selection);
			return {kind: 'sent', incarnation: selection.endpoint.incarnation};
		}

		onRefused(refusals.buildQuarantined());
		return {kind: 'ended'};
	}

	function startWaiting(best: Selection | undefined, needsRetry: boolean): void {
		leaveRoom = room?.enter(createWaiter({
			request,
			admitter,
			readMs: best?.readMs ?? 0,
			isPromised: isPromised(),
			getRoomInMs: () => selector.getPoolRoomInMs(roomQuestion),
			send: hasTurn => sendWaiting(hasTurn, needsRetry),
			onWithdrawn(reason, retryAfterMs) {
				leaveRoom = undefined;
				if (reason === 'no-endpoint') {
					onNoEndpoint();
				} else {
					onRefused(refusals.buildOverloaded(retryAfterMs, retryAfterMs));
				}
			},
		}));
	}

	/**
	Whether the request may not be refused for load: an endpoint has worked on it, its caller has come back, or its wait is not predicted.
	*/
	function isPromised(): boolean {
		return retries.countRuns() > 0 || admitter.hasReturned() || !isPredicted;
	}

	function predictRoomMs(): number {
		const waiter = {
			pool: request.pool, route: route.name, priority: route.priority, account: request.account?.name ?? '',
		};
		const roomInMs = selector.getPoolRoomInMs(roomQuestion);
		return Math.max(1, room?.predictMs(waiter, roomInMs) ?? 0);
	}

	/**
	Without a waiting room, or an endpoint for which to wait, the best endpoint is used or the request is refused.
	*/
	function placeAt(best: Selection | undefined, needsRetry: boolean): void {
		const fitting = needsRetry ? undefined : findRoom(best);
		const roomInMs = room === undefined || fitting !== undefined ? 0 : predictRoomMs();
		const isWaiting = roomInMs > 0 && roomInMs < Infinity && attempts - fullAttempts < maximumTriedEndpoints;
		const selection = fitting ?? best;
		if (selection === undefined && !isWaiting) {
			onNoEndpoint();
			return;
		}

		const prediction = selection ?? {costMs: roomInMs, readMs: 0};
		const admission = admitter.decide(prediction, attempts > 0, room && {roomInMs: isWaiting ? roomInMs : 0, isUrgent, isPromised: isPromised()});
		if (admission.kind === 'refuse') {
			onRefused(refusals.buildOverloaded(prediction.costMs, admission.retryAfterMs));
		} else if (admission.kind === 'wait') {
			startWaiting(selection, needsRetry);
		} else if (selection !== undefined) {
			sendAs(selection, admission);
		}
	}

	return {
		choose,
		place(needsRetry) {
			if (canStart()) {
				placeAt(choose(question), needsRetry);
			} else {
				onRefused(refusals.buildQuarantined());
			}
		},
		markSent({endpoint}) {
			attempts++;
			lastIncarnation = endpoint.incarnation;
			tried.add(lastIncarnation);
		},
		canWait: () => room !== undefined,
		markFull() {
			if (room !== undefined) {
				fullAttempts++;
				tried.delete(lastIncarnation);
			}
		},
		countAttempts: () => attempts,
		end() {
			leaveRoom?.();
			leaveRoom = undefined;
		},
	};
}
