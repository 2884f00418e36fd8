import * as z from 'zod';
import {ValvesaddleError} from '@valvesaddle/error';
import type {EngineEvent} from './engine-event.ts';

const chunkSchema = z.object({
	choices: z.array(z.object({
		delta: z.record(z.string(), z.unknown()).optional(),
		finish_reason: z.string().nullish(),
	})).default([]),
});

/**
 Decodes one chunk of a streamed completion.

 @throws `ERR_VALVESADDLE_ENDPOINT_FAILED` when the chunk is malformed.

 @example
 readChunk('{"choices":[{"delta":{"content":"Yes"}}]}'); // [{kind: 'delta', delta: {content: 'Yes'}, text: 'Yes'}]
 */
export function readChunk(data: string): readonly EngineEvent[] {
	const [choice] = parseChunk(data).choices;
	if (choice === undefined) {
		return [];
	}

	const events: EngineEvent[] = [];
	const {delta} = choice;
	if (delta !== undefined && Object.keys(delta).some(key => key !== 'role' && delta[key] !== '' && delta[key] !== null)) {
		events.push({kind: 'delta', delta, text: typeof delta.content === 'string' ? delta.content : ''});
	}

	if (typeof choice.finish_reason === 'string') {
		events.push({kind: 'finish', reason: choice.finish_reason});
	}

	return events;
}

function parseChunk(data: string): z.infer<typeof chunkSchema> {
	try {
		return chunkSchema.parse(JSON.parse(data));
	} catch (error) {
		throw new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', 'the engine sent a chunk that has not the form of a completion', {cause: error});
	}
}
