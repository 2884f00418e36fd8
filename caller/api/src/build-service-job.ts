import {buildJobBase} from './build-job-base.ts';
import type {Caller} from './caller.ts';
import {getHeader} from './get-header.ts';
import type {JobOptions} from './job-options.ts';
import type {JobPlan} from './job-plan.ts';

const pathPattern = /^\/v1\/services\/(?<model>[^\/?]+)(?<rest>(?:\/[^?]*)?)(?<query>\?.*)?$/v;

/**
 Builds the job of a call to a plain service. The path after the service's name and the query are forwarded.

 @param caller - Request and client account.
 @param text - Body of the request.
 @param options - Node, region and access index.
 @throws What `buildJobBase` throws.
 @example
 const {job} = buildServiceJob(caller, '{"truck":"PB 1234"}', {node, region, access});
 */
export function buildServiceJob(caller: Caller, text: string, options: JobOptions): JobPlan {
	const {request} = caller;
	const {model = '', rest = '', query = ''} = pathPattern.exec(request.url ?? '')?.groups ?? {};
	const method = request.method ?? 'GET';
	const path = `${rest === '' ? '/' : rest}${query}`;
	return {
		job: {
			...buildJobBase(caller, {kind: 'service', model, text: `${method} ${path}\n${text}`}, options),
			session: undefined,
			promptTokens: 0,
			work: {
				kind: 'service', method, path, contentType: getHeader(request, 'content-type') ?? 'application/json', body: text,
			},
		},
		model,
		isStreamed: false,
	};
}
