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
Clients that an attempt at an engine uses.
*/
type EngineTools = {
	readonly engines: EngineClient;
	readonly dispatch: DispatchClient;
};

/**
 Streams a completion from an engine into the log, from where earlier attempts ended.

 @throws `ValvesaddleError` that says whether the engine may have run the request.
 @example
 const end = await runEngineAttempt(attempt, work, {engines, dispatch});
 */
export async function runEngineAttempt(attempt: Attempt, work: EngineWork, {engines, dispatch}: EngineTools): Promise<AnswerEnd> {
	const watch = createStallDetector({limits: getStallTimeouts(attempt.job), signal: attempt.signal, mayCut: attempt.mayRetry});
	try {
		return await readStream(attempt, watch, work, {engines, dispatch});
	} catch (error) {
		throw watch.isStalled() ? new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', 'the engine was silent for too long', {cause: error}) : error;
	} finally {
		watch.close();
	}
}

async function readStream(attempt: Attempt, watch: StallDetector, work: EngineWork, {engines, dispatch}: EngineTools): Promise<AnswerEnd> {
	const {job, grant, log, progress} = attempt;
	const startedAt = Date.now();
	const before = progress.tokens;
	let firstTokenMs: number | undefined;
	let finishReason = 'stop';
	const stream = engines.stream({
		url: grant.url,
		body: work.body,
		priority: job.requestClass.priority,
		textSoFar: progress.text,
		tokensSoFar: progress.tokens,
		trace: attempt.hop.carrier,
	}, watch.signal);
	for await (const event of stream) {
		if (event.kind === 'finish') {
			finishReason = event.reason;
			continue;
		}

		if (firstTokenMs === undefined) {
			firstTokenMs = Date.now() - startedAt;
			progress.firstTokenAt ??= Date.now();
			attempt.hop.addEvent('first-token');
			attempt.onFirstAnswer();
		}

		watch.recordToken();
		progress.text += event.text;
		progress.tokens++;
		progress.isPlainText &&= isPlainText(event.delta);
		log.append(JSON.stringify(event.delta));
		dispatch.progress(grant.grantId, progress.tokens - before, firstTokenMs);
	}

	return {kind: 'complete', finishReason, tokens: progress.tokens};
}

function isPlainText(delta: Readonly<Record<string, unknown>>): boolean {
	return Object.keys(delta).every(key => key === 'content' || key === 'role');
}
