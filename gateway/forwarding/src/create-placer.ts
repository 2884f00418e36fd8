import type {Admission} from '@valvesaddle/admission';
import type {Selection, SelectionCriteria} from '@valvesaddle/selection';
import type {SendOutcome, WaitingRoom} from '@valvesaddle/waiting-room';
import {createWaiter} from './create-waiter.ts';
import type {Placer} from './placer.ts';
import type {PlacerOptions} from './placer-options.ts';
import {rankUrgency} from './rank-urgency.ts';
import {rankWaiter} from './rank-waiter.ts';

/**
Number of endpoints that are tried for one request, including those that refuse it or are unreachable; those that are full are not counted
where the request may wait.
*/
const maximumTriedEndpoints = 5;
/**
Time within which each endpoint that is not full counts as having room, in milliseconds.
*/
const anyTimeMs = 1e9;
/**
Part of its time for which a late request waits for a free slot at most: its answer needs the rest to end before the deadline.
*/
const longestWaitShare = 0.4;
/**
Objectives for which a request waits at most whose wait is not predicted: afterwards its answer is of little use.
*/
const usefulObjectives = 2;
/**
Harm up to which a late request is sent, as a part of its objective: half a stream made late.
*/
const mostHarmShare = 0.5;

/**
 Creates the placer of one request.

 @example
 const placer = createPlacer({tools, request, question, tried, admitter, crashes, refusals, retries, onSend, onRefused, onNoEndpoint});
 placer.place(false);
 */
export function createPlacer({tools, request, question, tried, admitter, crashes, refusals, retries, onSend, onRefused, onNoEndpoint}: PlacerOptions): Placer {
	const {selector, metrics, room} = tools;
	const {route} = request;
	const isUrgent = route.priority === 0;
	const isPredicted = request.isEnginePool && route.kind === 'stream';
	/**
	Criteria by which endpoints that are full are left out, and those without a free slot.
	*/
	const openQuestion: SelectionCriteria = {...question, roomWithinMs: anyTimeMs};
	const freeQuestion: SelectionCriteria = {...question, roomWithinMs: 0, urgency: rankUrgency(route, request.account, true)};
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

	/**
	Whether the request may not be refused for load: an endpoint has worked on it, its caller has come back, or its wait is not predicted.
	*/
	function isPromised(): boolean {
		return retries.countRuns() > 0 || admitter.hasReturned() || !isPredicted;
	}

	/**
	Whether it waits for a free slot, since it is late anyway.
	*/
	function isLate(readMs: number): boolean {
		return isPredicted && !isUrgent && isPromised() && !admitter.isInTime(readMs);
	}

	/**
	Free slot for a late request, where its prompt makes no stream late.
	*/
	function findFreeSlot(hasTurn: (incarnation: string) => boolean): Selection | undefined {
		const selection = choose({...freeQuestion, hasTurn});
		return selection !== undefined && selection.harmMs <= mostHarmShare * route.latencyObjectiveMs ? selection : undefined;
	}

	/**
	Endpoint for a request that waits, if it is to be sent now: any that is not full for one that is urgent, was sent before or whose wait is not
	predicted, one where it would be in time, or a free slot for a late one.
	*/
	function findTurn(hasTurn: (incarnation: string) => boolean, longestAt: number): Selection | undefined {
		if (isUrgent || !isPredicted || retries.countRuns() > 0) {
			return choose({...openQuestion, hasTurn});
		}

		// As for a new request, all endpoints are compared: one whose turn it is might be the one whose streams it would delay.
		const best = choose(openQuestion);
		if (best === undefined || admitter.isInTime(best.costMs)) {
			return best;
		}

		if (!isLate(best.readMs)) {
			return undefined;
		}

		return performance.now() >= longestAt ? choose({...openQuestion, urgency: freeQuestion.urgency}) : findFreeSlot(hasTurn);
	}

	/**
	Sends the request at its turn, if an endpoint has room and the budget allows the retry that it needs.
	*/
	function sendWaiting(hasTurn: (incarnation: string) => boolean, longestAt: number, isRetryMissing: boolean): SendOutcome {
		const selection = !isRetryMissing || retries.hasRetry() ? findTurn(hasTurn, longestAt) : undefined;
		if (selection === undefined || (isRetryMissing && retries.spend({mayHaveRun: false}) !== undefined)) {
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

	/**
	Predicted time until the request can be sent, without those that wait before it; `Infinity` without an endpoint.
	*/
	function getRoomInMs(): number {
		const best = isPredicted ? choose(openQuestion) : undefined;
		return best === undefined ? selector.getPoolRoomInMs(openQuestion) : best.costMs - best.readMs;
	}

	function getLongestMs(): number {
		return longestWaitShare * Math.min(route.timeoutMs, request.metadata.waitMs ?? Infinity);
	}

	function startWaiting(readMs: number, isRetryMissing: boolean): void {
		const longestMs = getLongestMs();
		const longestAt = performance.now() + longestMs;
		leaveRoom = room?.enter(createWaiter({
			request,
			admitter,
			readMs,
			isLate: isLate(readMs),
			isRetryMissing,
			isPromised: isPromised(),
			latestAt: isPredicted || retries.countRuns() > 0 ? undefined : performance.now() + Math.min(longestMs, usefulObjectives * route.latencyObjectiveMs),
			getRoomInMs,
			send: hasTurn => sendWaiting(hasTurn, longestAt, isRetryMissing),
			onWithdrawn(reason, retryAfterMs) {
				leaveRoom = undefined;
				// One that an endpoint has worked on is not answered as if it had not run.
				if (retries.countRuns() === 0 && (reason === 'no-endpoint' || attempts > 0)) {
					onNoEndpoint();
				} else {
					onRefused(refusals.buildOverloaded(retryAfterMs, retryAfterMs));
				}
			},
		}));
	}

	function startAlone(): void {
		const selection = choose(question);
		if (selection === undefined) {
			onNoEndpoint();
			return;
		}

		const admission = admitter.decide(selection, attempts > 0);
		if (admission.kind === 'refuse') {
			onRefused(refusals.buildOverloaded(selection.costMs, admission.retryAfterMs));
		} else {
			sendAs(selection, admission);
		}
	}

	function sendAs(selection: Selection, {kind}: Admission): void {
		const late = kind === 'send-late' ? choose({...question, urgency: freeQuestion.urgency}) : undefined;
		onSend(late ?? selection);
	}

	/**
	Where requests wait: full endpoints are left out, and the request waits if there is no other.
	*/
	function startInTurn(waitingRoom: WaitingRoom, isRetryMissing: boolean): void {
		const best = choose(openQuestion);
		const readMs = best?.readMs ?? 0;
		const waiter = rankWaiter(request, isLate(readMs));
		const isHeldBack = isRetryMissing || best === undefined;
		const roomInMs = selector.getPoolRoomInMs(isHeldBack ? openQuestion : freeQuestion);
		// Endpoints that ask for a longer pause than the request may wait are not waited for.
		if (isHeldBack && (roomInMs > getLongestMs() || attempts - fullAttempts >= maximumTriedEndpoints)) {
			startAlone();
			return;
		}

		const costMs = best?.costMs ?? roomInMs;
		const admission = admitter.decide({costMs, readMs}, attempts > 0, {
			mustWait: isHeldBack, roomInMs: waitingRoom.predictMs(waiter, roomInMs), isUrgent, isPromised: isPromised(),
		});
		if (admission.kind === 'refuse') {
			onRefused(refusals.buildOverloaded(costMs, admission.retryAfterMs));
		} else if (best === undefined || admission.kind === 'wait') {
			startWaiting(readMs, isRetryMissing);
		} else {
			sendAs(best, admission);
		}
	}

	return {
		choose,
		place(isRetryMissing) {
			if (!canStart()) {
				onRefused(refusals.buildQuarantined());
			} else if (room === undefined) {
				startAlone();
			} else {
				startInTurn(room, isRetryMissing);
			}
		},
		markSent({endpoint}) {
			attempts++;
			lastIncarnation = endpoint.incarnation;
			tried.add(lastIncarnation);
		},
		canWait: () => room !== undefined,
		markFull() {
			if (room === undefined) {
				return;
			}

			fullAttempts++;
			tried.delete(lastIncarnation);
		},
		countAttempts: () => attempts,
		end() {
			leaveRoom?.();
			leaveRoom = undefined;
		},
	};
}
