import type {EngineRequest} from './engine-request.ts';

/**
 Builds the body of a request to an engine: the caller's body with streaming enabled and the engine's priority. To
 resume, the text so far is sent as an unfinished answer that the engine continues (vLLM's `continue_final_message`).

 @example
 buildEngineBody({...request, textSoFar: 'The permit'}).continue_final_message; // true
 */
export function buildEngineBody({body, priority, textSoFar, tokensSoFar}: EngineRequest): Readonly<Record<string, unknown>> {
	const streamed = {...body, stream: true, priority};
	if (textSoFar === '') {
		return streamed;
	}

	const messages: readonly unknown[] = Array.isArray(body.messages) ? body.messages : [];
	const last: unknown = messages.at(-1);
	const isContinuation = body.continue_final_message === true && isAnswer(last);
	const answer = {role: 'assistant', content: isContinuation ? `${last.content}${textSoFar}` : textSoFar};
	return {
		...streamed,
		messages: [...(isContinuation ? messages.slice(0, -1) : messages), answer],
		continue_final_message: true,
		add_generation_prompt: false,
		...adjustTokenLimit(body, 'max_tokens', tokensSoFar),
		...adjustTokenLimit(body, 'max_completion_tokens', tokensSoFar),
	};
}

function adjustTokenLimit(body: Readonly<Record<string, unknown>>, name: string, tokensSoFar: number): Readonly<Record<string, number>> {
	const limit = body[name];
	return typeof limit === 'number' ? {[name]: Math.max(1, limit - tokensSoFar)} : {};
}

function isAnswer(message: unknown): message is {readonly content: string} {
	return typeof message === 'object' && message !== null && 'content' in message && typeof message.content === 'string';
}
