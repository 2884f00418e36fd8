import {buildJobBase} from './build-job-base.ts';
import type {Caller} from './caller.ts';
import {estimatePromptTokens} from './estimate-prompt-tokens.ts';
import {getHeader} from './get-header.ts';
import {headerNames} from './header-names.ts';
import type {JobOptions} from './job-options.ts';
import type {JobPlan} from './job-plan.ts';
import {parseChatBody} from './parse-chat-body.ts';

/**
 Builds the job of a chat completion.

 @param caller - Request and client account.
 @param text - Body of the request.
 @param options - Node, region and access index.
 @throws `ERR_VALVESADDLE_MALFORMED_BODY`, and what `buildJobBase` throws.
 @example
 const {job} = buildChatJob(caller, text, {node, region, access});
 */
export function buildChatJob(caller: Caller, text: string, options: JobOptions): JobPlan {
	const body = parseChatBody(text);
	return {
		job: {
			...buildJobBase(caller, {kind: 'engine', model: body.model, text}, options),
			session: getHeader(caller.request, headerNames.session) ?? body.user,
			promptTokens: estimatePromptTokens(body.messages),
			work: {kind: 'engine', body},
		},
		model: body.model,
		isStreamed: body.stream === true,
	};
}
