import type {AnswerEnd} from '@valvesaddle/answers';
import type {DispatchClient} from '@valvesaddle/client';
import type {EngineClient} from '@valvesaddle/engine';
import {ValvesaddleError} from '@valvesaddle/error';
import type {Attempt} from './attempt.ts';
import {createStallDetector} from './create-stall-detector.ts';
import type {EngineWork} from './engine-work.ts';
import {getStallTimeouts} from './get-stall-timeouts.ts';
import type {StallDetector} from './stall-detector.ts';

/**
Clients for an attempt at an engine.
*/
type EngineClients = {
	readonly engines: EngineClient;
	readonly dispatch: DispatchClient;
};

/**
 Streams a completion from an engine into the log, continuing where earlier attempts ended.

 @throws `ValvesaddleError` whose traits tell whether the engine may have run the request.
 @example
 const end = await runEngineAttempt(attempt, work, {engines, dispatch});
 */
export async function runEngineAttempt(attempt: Attempt, work: EngineWork, {engines, dispatch}: EngineClients): Promise<AnswerEnd> {
	const detector = createStallDetector({timeouts: getStallTimeouts(attempt.job), signal: attempt.signal, mayAbort: attempt.reserveRetry});
	try {
		return await readStream(attempt, detector, work, {engines, dispatch});
	} catch (error) {
		throw detector.isStalled() ? new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', 'the engine was silent for too long', {cause: error}) : error;
	} finally {
		detector.close();
	}
}

async function readStream(attempt: Attempt, detector: StallDetector, work: EngineWork, {engines, dispatch}: EngineClients): Promise<AnswerEnd> {
	const {job, grant, log, progress} = attempt;
	const startedAt = performance.now();
	const tokensBefore = progress.tokens;
	let firstTokenMs: number | undefined;
	let finishReason = 'stop';
	const stream = engines.stream({
		url: grant.url,
		body: work.body,
		priority: job.requestClass.priority,
		textSoFar: progress.text,
		tokensSoFar: progress.tokens,
		trace: attempt.hop.carrier,
	}, detector.signal);
	for await (const event of stream) {
		if (event.kind === 'finish') {
			finishReason = event.reason;
			continue;
		}

		if (firstTokenMs === undefined) {
			firstTokenMs = Math.round(performance.now() - startedAt);
			progress.firstTokenAt ??= performance.now();
			attempt.hop.addEvent('first-token');
			attempt.onFirstAnswer();
		}

		detector.recordToken();
		progress.text += event.text;
		progress.tokens++;
		progress.isPlainText &&= isPlainText(event.delta);
		log.append(JSON.stringify(event.delta));
		dispatch.progress(grant.grantId, progress.tokens - tokensBefore, firstTokenMs);
	}

	return {kind: 'complete', finishReason, tokens: progress.tokens};
}

function isPlainText(delta: Readonly<Record<string, unknown>>): boolean {
	return Object.keys(delta).every(key => key === 'content' || key === 'role');
}
