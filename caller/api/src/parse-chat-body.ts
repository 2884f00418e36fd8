import * as z from 'zod';
import {ValvesaddleError} from '@valvesaddle/error';
import {chatBodySchema} from './chat-body-schema.ts';

/**
 Parses the body of a chat completion.

 @throws `ERR_VALVESADDLE_MALFORMED_BODY` that lists every error.
 @example
 parseChatBody('{"model":"drafting","messages":[{"role":"user","content":"Hello"}]}').model; // 'drafting'
 */
export function parseChatBody(text: string): z.infer<typeof chatBodySchema> {
	let json: unknown;
	try {
		json = JSON.parse(text);
	} catch (error) {
		throw new ValvesaddleError('ERR_VALVESADDLE_MALFORMED_BODY', 'the body is not JSON', {cause: error});
	}

	const parsed = chatBodySchema.safeParse(json);
	if (!parsed.success) {
		throw new ValvesaddleError('ERR_VALVESADDLE_MALFORMED_BODY', z.prettifyError(parsed.error));
	}

	return parsed.data;
}
